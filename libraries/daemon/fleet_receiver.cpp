#include "daemon/fleet_receiver.hpp"

#include "daemon/control_plane.hpp"

namespace cicadahub::daemon
{

boost::asio::awaitable<fleet::wire::Body>
fleet_receiver::on_message(fleet::wire::Body body)
{
    return m_control.on_message(std::move(body));
}

} // namespace cicadahub::daemon
