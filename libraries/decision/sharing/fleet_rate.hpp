#pragma once

#include "decision/sharing/host_rate.hpp"

namespace cicadahub::sharing
{

/// Demand of one organisation over the fleet, as known to one host.
struct demand_view
{
    /// This host's share of the rate, by demand.
    double share = 1;
    /// Tokens by which all hosts together may exceed the rate.
    std::int64_t slack = 0;
    std::size_t hosts = 1;
    /// True if the reports of all hosts are arriving.
    bool has_all_reports = false;
    /// True if the demand at all hosts together is below the rate.
    bool is_below_rate = false;
    /// Tokens spent so far as reported by the other hosts; never decreases.
    std::int64_t spent_elsewhere = 0;
};

/// Enforces an organisation's rate limit at one host of the fleet. Each host
/// has a share of the rate to itself. A request that exceeds this share is
/// charged to a shared allowance, a part of the tokens that all hosts together
/// have left. Without it, a few requests spread over many hosts would be
/// refused, as each share is too small for one of them. While the demand is
/// below the rate, the allowances of all hosts add up to more than the tokens
/// left.
///
/// The tokens left are those of one bucket for the fleet, less what each host
/// reports as spent. The allowance lasts until the other hosts have reported
/// again, so that sudden demand exceeds the rate by a bounded amount. Any
/// excess over the slack is repaid before anything else is spent.
class fleet_rate
{
public:
    fleet_rate(quota::rate_limit fleet_limit, const demand_view& view,
               time_point now);

    /// Applies the reports received since the last call and renews the shared
    /// allowance.
    void set(quota::rate_limit fleet_limit, const demand_view& view,
             time_point now);

    /// Charges the tokens, or returns the time after which a retry may succeed.
    std::optional<milliseconds> charge(std::int64_t tokens, time_point now);

    const demand_view& view() const { return m_view; }
    /// Tokens that all hosts together have left, as far as this host knows.
    std::int64_t left() const { return m_fleet_bucket.level().value(); }

    /// Tokens that this host has spent since its start.
    std::int64_t spent() const { return m_spent; }

private:
    bool take_shared_allowance(std::int64_t tokens);
    void record_spent(std::int64_t tokens);

    host_rate m_host_rate;
    /// Bucket of the whole fleet. Its level is what all hosts have left, and
    /// negative if they have exceeded the rate.
    quota::token_bucket m_fleet_bucket;
    demand_view m_view;
    /// What this host may still spend beyond its share until the next call of
    /// `set`, and what it was allowed at the last one.
    std::int64_t m_shared_allowance_left = 0;
    std::int64_t m_shared_allowance = 0;
    std::int64_t m_spent = 0;
};

} // namespace cicadahub::sharing
