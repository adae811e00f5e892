#pragma once

#include "decision/quota/token_bucket.hpp"

#include <optional>

namespace cicadahub::sharing
{

/// This host's part of an organisation's rate. The parts of all hosts follow
/// the demand that each of them tells the others, so that they add up to the
/// whole but for the time that the telling takes.
class host_rate
{
public:
    /// `slack` is this host's part of the tokens by which all hosts together
    /// may pass the rate; it adds to the burst.
    host_rate(quota::rate_limit fleet_limit, double share, std::int64_t slack,
              time_point now);

    void set(quota::rate_limit fleet_limit, double share, std::int64_t slack,
             time_point now);

    /// Takes the tokens; otherwise the time until there are as many.
    std::optional<milliseconds> charge(std::int64_t tokens, time_point now);

private:
    static quota::rate_limit
    share_of_limit(const quota::rate_limit& fleet_limit, double share,
                   std::int64_t slack);

    quota::token_bucket m_bucket;
};

/// Part of a host: its demand against that of all, with a floor for a host
/// whose first requests are only just coming.
double share_of_demand(double own, double all, std::size_t host_count);

} // namespace cicadahub::sharing
