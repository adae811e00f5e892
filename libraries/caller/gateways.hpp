#pragma once

#include "core/ids.hpp"
#include "core/refusal.hpp"
#include "core/units.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <variant>

namespace cicadahub::caller
{

namespace net = boost::asio;

using wake_answer = std::variant<server_id, refusal>;

/// The daemon's control side, as the path of a request needs it. Its functions
/// may be called from any thread's coroutine.
template<class Control>
concept control_gateway = requires(Control& control, model_id model,
                                   time_point deadline)
{
    /// A server that has the model, or a refusal by the deadline.
    {
        control.wake(model, deadline)
        } -> std::same_as<net::awaitable<wake_answer>>;
};

} // namespace cicadahub::caller
