#pragma once

#include "fleet/frame_codec.hpp"

#include <boost/asio/awaitable.hpp>

namespace cicadahub::daemon
{

class control_plane;

/// Passes messages from other daemons to the control plane.
class fleet_receiver
{
public:
    explicit fleet_receiver(control_plane& control) : m_control(control) {}

    boost::asio::awaitable<fleet::wire::Body>
    on_message(fleet::wire::Body body);

private:
    control_plane& m_control;
};

} // namespace cicadahub::daemon
