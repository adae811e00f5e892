#pragma once

#include "core/units.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadahub::daemon
{

namespace net = boost::asio;

inline constexpr auto no_throw = net::as_tuple(net::use_awaitable);

/// Suspends the coroutine without blocking its thread.
inline net::awaitable<void> pause(net::io_context& context, milliseconds time)
{
    net::steady_timer timer(context, time);
    co_await timer.async_wait(no_throw);
}

} // namespace cicadahub::daemon
