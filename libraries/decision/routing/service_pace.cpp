#include "decision/routing/service_pace.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::routing
{

namespace
{

/// Assumed before the first outcome.
constexpr attempt_times initial_times{milliseconds(100), milliseconds(300)};
constexpr std::uint32_t outcomes_averaged = 50;

double log_of(milliseconds it)
{
    return std::log(std::max(0.5, static_cast<double>(it.count())));
}

milliseconds from_log(double it)
{
    return std::max(milliseconds(1), milliseconds(std::llround(std::exp(it))));
}

} // namespace

void service_pace::on_outcome(const attempt_times& it, double stated_pace)
{
    m_outcomes = std::min(m_outcomes + 1, outcomes_averaged);
    const double weight = 1.0 / m_outcomes;
    const double log_pace = std::log(stated_pace);
    m_log_first += weight * (log_of(it.first) - log_pace - m_log_first);
    m_log_whole += weight * (log_of(it.whole) - log_pace - m_log_whole);
}

attempt_times service_pace::usual() const
{
    return m_outcomes == 0
               ? initial_times
               : attempt_times{from_log(m_log_first), from_log(m_log_whole)};
}

} // namespace cicadahub::routing
