#pragma once

#include "entry/entry_state.hpp"
#include "http/client_guard.hpp"

#include <array>

namespace cicadahub::entry
{

/// Bounds on the clients of this host's listeners. Each kind of refusal or
/// closing is counted, and logged at most once a second.
class client_bounds
{
public:
    explicit client_bounds(entry_state& state);

    http::client_guard callers();
    http::client_guard peers();
    /// The account of callers' memory does not bind these.
    http::client_guard readiness();

private:
    struct limit_log
    {
        std::uint64_t count = 0;
        time_point next{};
    };

    http::client_guard guard(std::shared_ptr<admission::memory_account> memory,
                             admission::connection_bounds bounds);
    void on_limit(http::client_limit it);

    entry_state& m_state;
    admission::descriptor_bounds m_bounds;
    /// Of events since the last log line.
    std::array<limit_log, http::client_limit_count> m_logs{};
};

} // namespace cicadahub::entry
