#include "caller/concurrency_limiter.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadahub::caller
{

net::awaitable<std::optional<refusal>>
concurrency_limiter::acquire(net::io_context& context,
                             admission::waiting_request it, std::uint32_t slots)
{
    waiter_pointer own;
    {
        std::lock_guard lock(m_mutex);
        m_slots = slots;
        if (m_running < m_slots && m_queue.size() == 0)
        {
            ++m_running;
            co_return std::nullopt;
        }
        it.ticket = m_next_ticket++;
        if (const auto refused = m_queue.add(it, monotonic_clock::now()))
        {
            co_return refused;
        }
        own = std::make_shared<waiter>(context);
        own->timer.expires_after(it.deadline - monotonic_clock::now());
        m_waiters.emplace(it.ticket, own);
        grant_slots(monotonic_clock::now());
        if (own->has_slot)
        {
            co_return std::nullopt;
        }
    }
    co_await own->timer.async_wait(net::as_tuple(net::use_awaitable));
    std::lock_guard lock(m_mutex);
    if (own->has_slot)
    {
        co_return std::nullopt;
    }
    m_waiters.erase(it.ticket);
    m_queue.cancel(it.ticket);
    co_return refusal{refusal_kind::target_unreachable, true,
                      m_queue.estimated_wait()};
}

void concurrency_limiter::release()
{
    std::lock_guard lock(m_mutex);
    --m_running;
    grant_slots(monotonic_clock::now());
}

void concurrency_limiter::grant_slots(time_point now)
{
    // Expired requests only leave the queue here; their own timers wake them.
    m_queue.take_expired(now);
    while (m_running < m_slots)
    {
        const auto next = m_queue.take(now);
        if (!next)
        {
            return;
        }
        const auto at = m_waiters.find(next->ticket);
        const waiter_pointer chosen = at->second;
        m_waiters.erase(at);
        ++m_running;
        chosen->has_slot = true;
        net::post(chosen->context, [chosen] { chosen->timer.cancel(); });
    }
}

std::size_t concurrency_limiter::waiting_count() const
{
    std::lock_guard lock(m_mutex);
    return m_queue.size();
}

std::shared_ptr<concurrency_limiter>
concurrency_limiter_table::limiter_of(const server_id& server)
{
    std::lock_guard lock(m_mutex);
    auto& it = m_limiters[server];
    if (!it)
    {
        it = std::make_shared<concurrency_limiter>(m_limits);
    }
    return it;
}

std::size_t concurrency_limiter_table::waiting_count() const
{
    std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto& [server, it] : m_limiters)
    {
        n += it->waiting_count();
    }
    return n;
}

} // namespace cicadahub::caller
