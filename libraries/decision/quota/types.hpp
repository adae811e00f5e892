#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

namespace cicadahub::quota
{

/// Rate and burst of one organisation across all hosts.
struct rate_limit
{
    double tokens_per_second = 0;
    token_count burst;

    bool operator==(const rate_limit&) const = default;
};

/// Tokens that a daemon may spend until the grant expires. The receiver counts
/// the lifetime from when it sent the request, the owner from when it makes the
/// grant, so the grant never expires later at the receiver.
struct grant
{
    /// Unique within an epoch; 0 if nothing was granted.
    std::uint64_t number = 0;
    token_count tokens;
    epoch_number epoch;
    /// Delay before the next request, if less was granted than requested.
    milliseconds retry_after{0};
};

/// The unspent part of a grant, returned before it expires.
struct returned_grant
{
    std::uint64_t number = 0;
    epoch_number epoch;
    token_count tokens;
};

struct quota_timing
{
    /// Time for which a grant may be spent. Must not exceed the margin of the
    /// leases, so that the grants of an owner whose lease expired have expired
    /// too when another owner takes over.
    milliseconds grant_lifetime{900};
    /// Share of the rate and burst that is divided equally among the slots and
    /// spent without the owner.
    double fixed_share = 0.3;
    /// Number of slots that the fixed share is divided among.
    std::uint32_t slots = 16;
};

/// The part of a rate from which its owner makes grants.
rate_limit granted_part(const rate_limit& total, const quota_timing& timing);

/// The part of a rate that the holder of one slot spends without the owner.
rate_limit slot_part(const rate_limit& total, const quota_timing& timing);

} // namespace cicadahub::quota
