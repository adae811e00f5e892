#include "decision/admission/start_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::admission
{

namespace
{

/// Weight of the latest request in a moving average.
constexpr double latest_weight = 0.05;

double average(double before, double latest)
{
    return before == 0 ? latest : before + latest_weight * (latest - before);
}

} // namespace

void start_estimate::on_ended(const server_id& server, milliseconds took,
                              std::optional<milliseconds> first_event_after,
                              time_point now)
{
    if (m_ended.size() >= max_servers && !m_ended.contains(server))
    {
        // Servers come and go under new ids; the averages are kept.
        m_ended.clear();
    }
    m_ended[server].add(1, now);
    m_duration_ms =
        average(m_duration_ms,
                static_cast<double>(std::max(took, milliseconds(1)).count()));
    if (first_event_after)
    {
        m_first_event_after = milliseconds(std::llround(
            average(static_cast<double>(m_first_event_after.count()),
                    static_cast<double>(first_event_after->count()))));
    }
}

double start_estimate::starts_per_second(std::span<const running_work> at,
                                         std::size_t hosts, time_point now)
{
    constexpr double milliseconds_per_second = 1000;
    double ended = 0;
    double own = 0;
    double all = 0;
    const auto sharers = static_cast<double>(std::max<std::size_t>(hosts, 1));
    for (const running_work& it : at)
    {
        const auto known = m_ended.find(*it.server);
        ended += known == m_ended.end() ? 0 : known->second.per_second(now);
        own += static_cast<double>(it.own);
        all += static_cast<double>(it.own) + static_cast<double>(it.elsewhere);
    }
    // A host takes up about as many slots as its own work frees; one without
    // work there takes its part of what becomes free.
    const double running = std::max(own, all / sharers);
    const double expected =
        m_duration_ms == 0 ? 0
                           : running * milliseconds_per_second / m_duration_ms;
    return std::max(ended, expected);
}

} // namespace cicadahub::admission
