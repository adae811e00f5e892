#pragma once

#include "core/units.hpp"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace cicadahub::daemon
{

namespace net = boost::asio;

class deferred_executor;

/// Work that has to wait while the event loop has anything else to do, such as
/// the requests of callers while news of the fleet arrives. Not thread-safe:
/// used on the thread of the loop only.
class deferred_work
{
public:
    explicit deferred_work(net::io_context& context) : m_context(context) {}
    deferred_work(const deferred_work&) = delete;
    deferred_work& operator=(const deferred_work&) = delete;

    /// Runs the handlers of the context and the deferred work, until the
    /// context is stopped. The context needs a timer that fires several times a
    /// second, so that a loop without anything to do does not look stalled.
    void run();

    /// The handler is called with the duration after the loop has run nothing
    /// for `stall_limit` or longer, because its process was stopped or one
    /// handler took as long, and before any deferred work runs.
    void on_stall(std::function<void(milliseconds)> handler)
    {
        m_on_stall = std::move(handler);
    }

    /// Deferred work waits until `release`, at most until `end`.
    void hold_until(time_point end) { m_held_until = end; }
    void release() { m_held_until = {}; }

    /// Half of the shortest time in which a confirmed change has to be in
    /// force, 2 s: a change may be due soon after a loop stood still as long.
    static constexpr milliseconds stall_limit{1'000};

    deferred_executor executor();
    net::io_context& context() { return m_context; }

    template<class Function>
    void push(Function&& it)
    {
        m_queue.push_back(std::make_unique<task<std::decay_t<Function>>>(
            std::forward<Function>(it)));
    }

private:
    struct any_task
    {
        virtual ~any_task() = default;
        virtual void run() = 0;
    };

    template<class Function>
    struct task final : any_task
    {
        explicit task(Function it) : function(std::move(it)) {}
        void run() override { std::move(function)(); }
        Function function;
    };

    /// Reports a stall of the loop since its last turn.
    void check_stall(time_point now);
    bool is_held(time_point now) const { return now < m_held_until; }

    /// Runs the oldest work, for as long as is left of its share of the loop.
    void run_share();
    /// Runs what else is ready, for the share of that at most.
    void run_context_share();

    net::io_context& m_context;
    std::deque<std::unique_ptr<any_task>> m_queue;
    /// Time that deferred work has taken since all else had its last turn.
    monotonic_clock::duration m_spent{};
    std::function<void(milliseconds)> m_on_stall;
    time_point m_last_turn{};
    time_point m_held_until{};
};

} // namespace cicadahub::daemon
