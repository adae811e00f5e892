#pragma once

#include "decision/admission/admission_control.hpp"
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

/// A request that waits for a replica of its model or for a free slot.
struct waiter
{
    explicit waiter(net::io_context& context) : timer(context) {}

    std::optional<replicas::copy_name> copy;
    /// Set if only servers of this software version will do.
    std::optional<software_version> version;
    /// Set if only servers in these regions will do.
    std::optional<std::set<region_id>> regions;
    std::int64_t priority = 0;
    time_point arrived{};
    time_point deadline{};
    /// Set if requests of the service begin in the order of what is lost by
    /// waiting; null if by priority and arrival.
    const admission::admission_control* control = nullptr;
    service_id service;
    admission::pending_request request;
    /// The queue has told of it.
    bool is_told = false;
    net::steady_timer timer;
};

/// Requests that wait at this daemon, ordered by priority, then by arrival. On
/// a change that may let them proceed, all are woken and retry in this order.
/// Where an `admission_control` orders them, only the first of those that wait
/// for the same is woken, and the next once that one has found a server.
class wait_queue
{
public:
    explicit wait_queue(net::io_context& context) : m_context(context) {}

    using waiter_pointer = std::shared_ptr<waiter>;

    waiter_pointer make_waiter() const;

    /// Waits for `wake_all`, at most for `limit`.
    net::awaitable<void> wait(waiter_pointer it, milliseconds limit);

    /// Wakes the requests that go ahead of this one and lets them look for a
    /// server before it does.
    net::awaitable<void> let_others_pass(waiter_pointer it);

    void wake_all();
    /// Wakes only requests that an `admission_control` orders.
    void wake_first();

    /// Number of requests that go ahead of one that waits or is about to, out
    /// of those that `competes` holds for.
    std::size_t
    count_ahead(const waiter& it,
                const std::function<bool(const waiter&)>& competes) const;

    /// The handler is called when a request starts to wait for a replica, but
    /// not each time that it looks for one again.
    void set_change_handler(std::function<void()> handler)
    {
        m_on_change = std::move(handler);
    }

    /// Replicas that requests wait for, with the number of these requests and
    /// the least time that one of them has left.
    std::vector<replicas::pending_demand> pending_demand(time_point now) const;
    std::size_t size() const { return m_waiters.size(); }

private:
    /// `tells` is false for a request that does not wait for a replica.
    net::awaitable<void> sleep(waiter_pointer it, milliseconds limit,
                               bool tells);

    net::io_context& m_context;
    std::function<void()> m_on_change;
    std::list<waiter_pointer> m_waiters;
};

} // namespace cicadahub::entry
