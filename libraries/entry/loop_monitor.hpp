#pragma once

#include "entry/entry_state.hpp"

namespace cicadahub::entry
{

/// Measures how late the daemon's event loop runs the handlers of callers'
/// requests, by a timer on their executor. A close of a caller, a readiness
/// check and a deadline are handled no sooner than that timer. Logs what the
/// loop was doing when it is late.
class loop_monitor
{
public:
    loop_monitor(entry_state& state, net::any_io_executor requests);

    void start();

private:
    net::awaitable<void> run();
    void log_delay(milliseconds late, const work_meter::amounts& work) const;

    entry_state& m_state;
    net::any_io_executor m_requests;
};

} // namespace cicadahub::entry
