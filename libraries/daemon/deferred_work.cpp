#include "daemon/deferred_executor.hpp"

namespace cicadahub::daemon
{

namespace
{

/// Shares of a loop that is always busy, in turn: deferred work gets a fifth
/// of it, and delays everything else by no more than its share.
constexpr milliseconds deferred_share{5};
constexpr milliseconds context_share{20};

} // namespace

deferred_executor deferred_work::executor()
{
    return deferred_executor(*this);
}

void deferred_work::run()
{
    m_last_turn = monotonic_clock::now();
    while (!m_context.stopped())
    {
        const time_point now = monotonic_clock::now();
        if (m_queue.empty())
        {
            m_context.run_one();
        }
        else if (is_held(now))
        {
            m_context.run_one_for(m_held_until - now);
        }
        const time_point turn = monotonic_clock::now();
        check_stall(turn);
        if (is_held(turn))
        {
            continue;
        }
        run_share();
        if (m_spent >= deferred_share)
        {
            run_context_share();
            m_spent = {};
        }
    }
}

void deferred_work::check_stall(time_point now)
{
    const auto stalled = std::chrono::duration_cast<milliseconds>(
        now - std::exchange(m_last_turn, now));
    if (stalled >= stall_limit && m_on_stall)
    {
        m_on_stall(stalled);
    }
}

void deferred_work::run_share()
{
    time_point now = monotonic_clock::now();
    while (!m_queue.empty() && m_spent < deferred_share && !m_context.stopped())
    {
        const auto it = std::move(m_queue.front());
        m_queue.pop_front();
        it->run();
        const time_point before = std::exchange(now, monotonic_clock::now());
        m_spent += now - before;
    }
}

void deferred_work::run_context_share()
{
    const time_point end = monotonic_clock::now() + context_share;
    while (m_context.poll_one() > 0 && monotonic_clock::now() < end)
    {
    }
}

} // namespace cicadahub::daemon
