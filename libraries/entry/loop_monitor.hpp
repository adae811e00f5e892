#pragma once

#include "entry/entry_state.hpp"

namespace cicadahub::entry
{

/// Measures how late the daemon's event loop runs its handlers, by a timer. A
/// close of a caller, a readiness check and a deadline are handled no sooner
/// than that timer. Logs what the loop was doing when it is late.
class loop_monitor
{
public:
    explicit loop_monitor(entry_state& state);

    void start();

private:
    net::awaitable<void> run();
    void log_delay(milliseconds late, const work_meter::amounts& work) const;

    entry_state& m_state;
};

} // namespace cicadahub::entry
