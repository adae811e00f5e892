#include "entry/loop_monitor.hpp"

#include "core/structured_log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadahub::entry
{

namespace
{

constexpr milliseconds check_period{250};
/// Half of the time within which work for a caller that has left must end.
constexpr milliseconds tolerated_delay{250};

} // namespace

loop_monitor::loop_monitor(entry_state& state, net::any_io_executor requests)
    : m_state(state), m_requests(std::move(requests))
{
}

void loop_monitor::start()
{
    net::co_spawn(m_requests, run(), net::detached);
}

net::awaitable<void> loop_monitor::run()
{
    net::steady_timer timer(m_requests);
    while (true)
    {
        const time_point due = monotonic_clock::now() + check_period;
        timer.expires_after(check_period);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        const auto late = std::chrono::duration_cast<milliseconds>(
            monotonic_clock::now() - due);
        m_state.metrics.observe_loop_delay(late);
        const work_meter::amounts work = m_state.work.take();
        if (late >= tolerated_delay)
        {
            log_delay(late, work);
        }
    }
}

void loop_monitor::log_delay(milliseconds late,
                             const work_meter::amounts& work) const
{
    boost::json::object fields{{"late_ms", late.count()},
                               {"waiting", m_state.waiting.size()},
                               {"peers", m_state.fleet.peers().size()}};
    for (std::size_t n = 0; n < duty_count; ++n)
    {
        const std::string name(name_of(static_cast<duty>(n)));
        fields[name] = work[n].times;
        fields[name + "_ms"] =
            std::chrono::duration_cast<milliseconds>(work[n].spent).count();
    }
    log_event(severity::warning, event_number::loop_delayed, std::move(fields));
}

} // namespace cicadahub::entry
