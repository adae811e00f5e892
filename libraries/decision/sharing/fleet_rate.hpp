#pragma once

#include "decision/sharing/host_rate.hpp"

namespace cicadahub::sharing
{

/// What a host knows of an organisation's demand and of the fleet.
struct demand_view
{
    /// This host's part of the rate, by demand.
    double share = 1;
    /// Tokens by which all hosts together may pass the rate.
    std::int64_t slack = 0;
    std::size_t hosts = 1;
    /// All hosts are heard.
    bool has_all_reports = false;
    /// Together they are asked for less than the rate.
    bool is_below_rate = false;
    /// Tokens that the other hosts told to have spent so far; never decreases.
    std::int64_t spent_elsewhere = 0;
};

/// An organisation's rate as one host of the fleet holds to it. Each host has
/// a part of the rate to itself. While the fleet is asked for less than the
/// rate, a request that the part cannot pay for is paid from what all hosts
/// have left: few requests at many hosts never fit the parts.
///
/// What all hosts have left is the whole bucket less what each of them tells to
/// have spent. A host may spend a limited amount of it until it has heard the
/// others again, so that a sudden demand passes the rate by a bounded amount,
/// which is paid back before anything else is spent.
class fleet_rate
{
public:
    fleet_rate(quota::rate_limit fleet_limit, const demand_view& view,
               time_point now);

    /// Takes what was learnt since the last call; the others have told anew.
    void set(quota::rate_limit fleet_limit, const demand_view& view,
             time_point now);

    /// Takes the tokens; otherwise the time until there may be as many.
    std::optional<milliseconds> charge(std::int64_t tokens, time_point now);

    const demand_view& view() const { return m_view; }
    /// Tokens that all hosts together have left, as far as this one knows.
    std::int64_t left() const { return m_fleet_bucket.level().value(); }

    /// Tokens that this host has spent since its start.
    std::int64_t spent() const { return m_spent; }

private:
    bool take_shared_allowance(std::int64_t tokens);
    void record_spent(std::int64_t tokens);

    host_rate m_host_rate;
    /// The whole rate; its level is what all hosts have left, and negative if
    /// they have passed it.
    quota::token_bucket m_fleet_bucket;
    demand_view m_view;
    /// Left of what this host may spend beyond its part until the next call of
    /// `set`, and all of it.
    std::int64_t m_shared_allowance_left = 0;
    std::int64_t m_shared_allowance = 0;
    std::int64_t m_spent = 0;
};

} // namespace cicadahub::sharing
