#include "decision/sharing/server_health.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

namespace
{

/// Weight of the newest outcome in the failure share, which thus covers about
/// the last ten requests.
constexpr double newest_weight = 0.1;
/// Failure share from which a server is suspended. Higher than the share of
/// requests that fail in a healthy application.
constexpr double suspect_failure_share = 0.35;
constexpr std::uint32_t min_samples = 6;
constexpr milliseconds first_suspension{1'000};
constexpr std::uint32_t max_doublings = 3;

} // namespace

void server_health::on_success()
{
    ++m_samples;
    m_failure_share *= 1 - newest_weight;
    if (m_failure_share < newest_weight)
    {
        m_suspensions = 0;
    }
}

bool server_health::on_failure(time_point now)
{
    ++m_samples;
    m_failure_share = m_failure_share * (1 - newest_weight) + newest_weight;
    if (m_samples < min_samples || m_failure_share < suspect_failure_share)
    {
        return false;
    }
    suspend(now);
    return true;
}

void server_health::on_unreachable(time_point now)
{
    suspend(now);
}

void server_health::suspend(time_point now)
{
    m_suspended_until =
        now + first_suspension * (1U << std::min(m_suspensions, max_doublings));
    ++m_suspensions;
    // Half of the samples and of the threshold remain, so that a few failures
    // after the suspension suffice for the next one.
    m_samples = min_samples / 2;
    m_failure_share = suspect_failure_share / 2;
}

} // namespace cicadahub::sharing
