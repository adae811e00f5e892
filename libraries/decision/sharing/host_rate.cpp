#include "decision/sharing/host_rate.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::sharing
{

namespace
{

/// Fraction of an even share that a host keeps without any demand.
constexpr double idle_share = 0.25;
/// Fraction of the burst that a daemon has when it starts.
constexpr double initial_burst_share = 0.25;

} // namespace

quota::rate_limit
host_rate::share_of_limit(const quota::rate_limit& fleet_limit, double share,
                          std::int64_t slack)
{
    const double burst = static_cast<double>(fleet_limit.burst.value()) * share;
    return {fleet_limit.tokens_per_second * share,
            token_count(static_cast<std::int64_t>(std::floor(burst)) + slack)};
}

host_rate::host_rate(quota::rate_limit fleet_limit, double share,
                     std::int64_t slack, time_point now)
    : m_bucket(share_of_limit(fleet_limit, share, slack))
{
    m_bucket.start_empty(now);
    // What this host spent before a restart is not known.
    const auto burst = static_cast<double>(m_bucket.limit().burst.value());
    m_bucket.put_back(
        token_count(static_cast<std::int64_t>(burst * initial_burst_share)));
}

void host_rate::set(quota::rate_limit fleet_limit, double share,
                    std::int64_t slack, time_point now)
{
    m_bucket.refill(now, m_bucket.limit().burst);
    m_bucket.set_limit(share_of_limit(fleet_limit, share, slack));
    m_bucket.clamp_to(m_bucket.limit().burst);
}

std::optional<milliseconds> host_rate::charge(std::int64_t tokens,
                                              time_point now)
{
    m_bucket.refill(now, m_bucket.limit().burst);
    // A request larger than the burst passes when the bucket is full; the
    // level then becomes negative.
    const token_count needed(std::min(tokens, m_bucket.limit().burst.value()));
    if (m_bucket.level() < needed)
    {
        return m_bucket.time_to(needed);
    }
    m_bucket.put_back(token_count(-tokens));
    return std::nullopt;
}

double share_of_demand(double own, double all, std::size_t host_count)
{
    const double even =
        1.0 / static_cast<double>(std::max<std::size_t>(1, host_count));
    if (all <= 0)
    {
        return even;
    }
    const double fixed = even * idle_share;
    return fixed + (1.0 - idle_share) * std::min(1.0, own / all);
}

} // namespace cicadahub::sharing
