#pragma once

#include "decision/replicas/types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// A request that waits for a copy of its model or for a place.
struct waiter
{
    explicit waiter(net::io_context& context) : timer(context) {}

    std::optional<replicas::copy_name> copy;
    std::int64_t rank = 0;
    time_point arrived{};
    time_point deadline{};
    net::steady_timer timer;
};

/// Requests that wait at this daemon. Whenever something changes that they may
/// wait for, they try again in the order of rank and arrival.
class wait_queue
{
public:
    explicit wait_queue(net::io_context& context) : m_context(context) {}

    using waiter_pointer = std::shared_ptr<waiter>;

    waiter_pointer make_waiter() const;

    /// Waits for a change, at most for `limit`.
    net::awaitable<void> wait(waiter_pointer it, milliseconds limit);

    void wake_all();

    /// Called when a request begins to wait for a copy.
    void set_change_handler(std::function<void()> handler)
    {
        m_on_change = std::move(handler);
    }

    /// Copies that are waited for.
    std::vector<replicas::pending_demand> pending_demand(time_point now) const;
    std::size_t size() const { return m_waiters.size(); }

private:
    net::io_context& m_context;
    std::function<void()> m_on_change;
    std::list<waiter_pointer> m_waiters;
};

} // namespace cicadahub::entry
