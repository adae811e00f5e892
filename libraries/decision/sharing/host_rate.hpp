#pragma once

#include "decision/quota/token_bucket.hpp"

#include <optional>

namespace cicadahub::sharing
{

/// This host's share of an organisation's rate. The shares follow the demand
/// that each host reports to the others, so that they add up to the whole rate
/// except while reports are under way.
class host_rate
{
public:
    /// `slack` is this host's part of the tokens by which all hosts together
    /// may exceed the rate; it adds to the burst.
    host_rate(quota::rate_limit fleet_limit, double share, std::int64_t slack,
              time_point now);

    void set(quota::rate_limit fleet_limit, double share, std::int64_t slack,
             time_point now);

    /// Charges the tokens, or returns the time until enough are available.
    std::optional<milliseconds> charge(std::int64_t tokens, time_point now);

private:
    static quota::rate_limit
    share_of_limit(const quota::rate_limit& fleet_limit, double share,
                   std::int64_t slack);

    quota::token_bucket m_bucket;
};

/// Share of a host in the rate: its demand relative to that of all hosts, with
/// a floor for a host whose first requests are only just arriving.
double share_of_demand(double own, double all, std::size_t host_count);

} // namespace cicadahub::sharing
