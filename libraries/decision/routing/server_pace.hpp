#pragma once

#include "decision/routing/service_pace.hpp"

namespace cicadahub::routing
{

/// Estimates how many times as long as usual work takes on one server, from
/// what the server states and from how long its requests took.
class server_pace
{
public:
    /// A statement holds for this long and then approaches the server's mean.
    static constexpr milliseconds statement_hold{100};
    static constexpr milliseconds drift_time{200};
    static constexpr milliseconds mean_time{10'000};

    void on_statement(std::uint32_t percent, time_point now);
    /// Learns what the server's statements leave out.
    void on_outcome(const attempt_times& it, const attempt_times& usual,
                    time_point now);

    /// As stated, 1 if usual or never stated.
    double stated(time_point now) const;
    /// Including what was learnt from outcomes.
    double factor(time_point now) const;

private:
    std::optional<time_point> m_stated_at;
    double m_stated = 1;
    double m_mean = 1;
    std::uint32_t m_outcomes = 0;
    /// Mean of the logarithm of the time that requests took, over what was
    /// expected by the statements.
    double m_log_excess = 0;
};

} // namespace cicadahub::routing
