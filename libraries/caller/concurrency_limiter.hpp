#pragma once

#include "decision/admission/fair_queue.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace cicadahub::caller
{

namespace net = boost::asio;

/// Limits this daemon's concurrent requests on one server to the server's
/// slots; the others wait in a fair queue.
class concurrency_limiter
{
public:
    explicit concurrency_limiter(admission::queue_limits limits)
        : m_queue(limits)
    {
    }

    /// Waits for a slot until the request's deadline. Returns a refusal if none
    /// is free by then or the queue does not admit the request; otherwise the
    /// slot must be returned by `release`.
    net::awaitable<std::optional<refusal>>
    acquire(net::io_context& context, admission::waiting_request it,
            std::uint32_t slots);

    void release();

    std::size_t waiting_count() const;

private:
    struct waiter
    {
        explicit waiter(net::io_context& owner) : context(owner), timer(owner)
        {
        }

        net::io_context& context;
        net::steady_timer timer;
        bool has_slot = false;
    };

    using waiter_pointer = std::shared_ptr<waiter>;

    /// Grants free slots to queued requests; `m_mutex` must be held.
    void grant_slots(time_point now);

    mutable std::mutex m_mutex;
    admission::fair_queue m_queue;
    std::map<std::uint64_t, waiter_pointer> m_waiters;
    std::uint64_t m_next_ticket = 1;
    std::uint32_t m_running = 0;
    std::uint32_t m_slots = 1;
};

/// Releases a slot at the end of its scope.
class slot_guard
{
public:
    explicit slot_guard(std::shared_ptr<concurrency_limiter> limiter)
        : m_limiter(std::move(limiter))
    {
    }
    ~slot_guard() { m_limiter->release(); }
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;

private:
    std::shared_ptr<concurrency_limiter> m_limiter;
};

/// The limiters of all servers that this daemon has sent requests to.
class concurrency_limiter_table
{
public:
    explicit concurrency_limiter_table(admission::queue_limits limits)
        : m_limits(limits)
    {
    }

    std::shared_ptr<concurrency_limiter> limiter_of(const server_id& server);
    std::size_t waiting_count() const;

private:
    admission::queue_limits m_limits;
    mutable std::mutex m_mutex;
    std::map<server_id, std::shared_ptr<concurrency_limiter>> m_limiters;
};

} // namespace cicadahub::caller
