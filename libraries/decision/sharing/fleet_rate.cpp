#include "decision/sharing/fleet_rate.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

namespace
{

/// Overcommit factor of the tokens left: while the demand is below the rate,
/// the allowances of all hosts add up to at most this many times the tokens
/// left. Requests of one organisation arrive at few hosts at a time, and if one
/// host in eight spends its whole allowance, the fleet stays within the rate.
/// If more hosts do, the fleet exceeds the rate by at most the demand of one
/// reporting period, which is repaid.
constexpr double shared_allowance_factor = 8;
/// Share of the fleet's burst that a daemon assumes to be left when it starts;
/// `host_rate` assumes the same for the host's share.
constexpr double initial_burst_share = 0.25;
/// Mean time until the shared allowance is renewed: hosts exchange reports
/// about once a second.
constexpr milliseconds shared_allowance_renewal{500};

std::int64_t slack_of(const demand_view& view)
{
    return view.slack /
           static_cast<std::int64_t>(std::max<std::size_t>(1, view.hosts));
}

/// Tokens of `level` that this host may spend until the other hosts report
/// again.
std::int64_t shared_allowance_of(const demand_view& view, token_count level)
{
    if (!view.has_all_reports || level.value() <= 0)
    {
        return 0;
    }
    const auto left = static_cast<double>(level.value());
    const double part = view.is_below_rate
                            ? std::min(1.0, shared_allowance_factor /
                                                static_cast<double>(view.hosts))
                            : view.share;
    return static_cast<std::int64_t>(left * part);
}

} // namespace

fleet_rate::fleet_rate(quota::rate_limit fleet_limit, const demand_view& view,
                       time_point now)
    : m_host_rate(fleet_limit, view.share, slack_of(view), now),
      m_fleet_bucket(fleet_limit), m_view(view)
{
    m_fleet_bucket.start_empty(now);
    const auto burst = static_cast<double>(fleet_limit.burst.value());
    m_fleet_bucket.put_back(
        token_count(static_cast<std::int64_t>(burst * initial_burst_share)));
}

void fleet_rate::set(quota::rate_limit fleet_limit, const demand_view& view,
                     time_point now)
{
    m_fleet_bucket.refill(now, m_fleet_bucket.limit().burst);
    m_fleet_bucket.put_back(
        token_count(m_view.spent_elsewhere - view.spent_elsewhere));
    m_view = view;
    m_host_rate.set(fleet_limit, view.share, slack_of(view), now);
    m_fleet_bucket.set_limit(fleet_limit);
    m_fleet_bucket.clamp_to(fleet_limit.burst);
    m_shared_allowance = shared_allowance_of(view, m_fleet_bucket.level());
    m_shared_allowance_left = m_shared_allowance;
}

void fleet_rate::record_spent(std::int64_t tokens)
{
    m_spent += tokens;
    m_fleet_bucket.put_back(token_count(-tokens));
}

bool fleet_rate::take_shared_allowance(std::int64_t tokens)
{
    // A request larger than the allowance passes while none of it is spent.
    const std::int64_t needed = std::min(tokens, m_shared_allowance);
    if (needed == 0 || m_shared_allowance_left < needed ||
        m_fleet_bucket.level().value() < tokens)
    {
        return false;
    }
    m_shared_allowance_left -= tokens;
    return true;
}

std::optional<milliseconds> fleet_rate::charge(std::int64_t tokens,
                                               time_point now)
{
    m_fleet_bucket.refill(now, m_fleet_bucket.limit().burst);
    const token_count allowed_debt(-m_view.slack);
    if (m_fleet_bucket.level() < allowed_debt)
    {
        return m_fleet_bucket.time_to(allowed_debt);
    }
    auto wait = m_host_rate.charge(tokens, now);
    if (!wait || take_shared_allowance(tokens))
    {
        record_spent(tokens);
        return std::nullopt;
    }
    return m_view.is_below_rate ? std::min(*wait, shared_allowance_renewal)
                                : *wait;
}

} // namespace cicadahub::sharing
