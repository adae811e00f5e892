#include "decision/routing/server_pace.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::routing
{

namespace
{

using milliseconds_double = std::chrono::duration<double, std::milli>;

/// A faulty statement or a single outcome makes no server useless or
/// irresistible.
constexpr double min_factor = 0.2;
constexpr double max_factor = 20;
constexpr double max_log_excess = 1.4;
/// Outcomes count as if this many had been as expected before them.
constexpr std::uint32_t prior_outcomes = 5;
constexpr std::uint32_t outcomes_averaged = 40;

double part_left(milliseconds_double age, milliseconds_double time)
{
    return std::exp(-std::max(0.0, age / time));
}

} // namespace

void server_pace::on_statement(std::uint32_t percent, time_point now)
{
    constexpr double usual_percent = 100;
    m_stated = std::clamp(percent / usual_percent, min_factor, max_factor);
    const double weight =
        m_stated_at ? 1 - part_left(now - *m_stated_at, mean_time) : 1;
    m_mean += weight * (m_stated - m_mean);
    m_stated_at = now;
}

void server_pace::on_outcome(const attempt_times& it,
                             const attempt_times& usual, time_point now)
{
    m_outcomes = std::min(m_outcomes + 1, outcomes_averaged);
    const double expected =
        stated(now) * static_cast<double>(usual.whole.count());
    const double took = std::max(0.5, static_cast<double>(it.whole.count()));
    const double excess =
        std::clamp(std::log(took / expected), -max_log_excess, max_log_excess);
    m_log_excess += (excess - m_log_excess) / (m_outcomes + prior_outcomes);
}

double server_pace::stated(time_point now) const
{
    if (!m_stated_at)
    {
        return 1;
    }
    const milliseconds_double age = now - *m_stated_at - statement_hold;
    return m_mean + (m_stated - m_mean) * part_left(age, drift_time);
}

double server_pace::factor(time_point now) const
{
    return std::clamp(stated(now) * std::exp(m_log_excess), min_factor,
                      max_factor);
}

} // namespace cicadahub::routing
