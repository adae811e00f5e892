#pragma once

#include "core/units.hpp"

namespace cicadahub::sharing
{

/// Outlier detection for one backend server: suspends the server if too many
/// requests of this daemon fail there, each time for longer.
class server_health
{
public:
    /// The server answered a request normally.
    void on_success();

    /// The server failed a request. Returns true if this suspends the server.
    bool on_failure(time_point now);

    /// The server could not be reached, which suspends it at once.
    void on_unreachable(time_point now);

    bool is_trusted(time_point now) const { return now >= m_suspended_until; }
    double failure_share() const { return m_failure_share; }

private:
    void suspend(time_point now);

    double m_failure_share = 0;
    std::uint32_t m_samples = 0;
    std::uint32_t m_suspensions = 0;
    time_point m_suspended_until{};
};

} // namespace cicadahub::sharing
