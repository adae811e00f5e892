#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

namespace cicadahub::quota
{

/// Rate and burst of one organisation, over all hosts together.
struct rate_limit
{
    double tokens_per_second = 0;
    token_count burst;

    bool operator==(const rate_limit&) const = default;
};

/// Tokens that a daemon may spend until the grant ends. The receiver counts the
/// time from before it asked, the owner from after it answered, so that the
/// grant never lives longer at the receiver.
struct grant
{
    /// Never used twice within an epoch; 0 if nothing was granted.
    std::uint64_t number = 0;
    token_count tokens;
    epoch_number epoch;
    /// When to ask again, if nothing was granted.
    milliseconds retry_after{0};
};

/// What is left of a grant, given back before its end.
struct returned_grant
{
    std::uint64_t number = 0;
    epoch_number epoch;
    token_count tokens;
};

struct quota_timing
{
    /// How long a grant may be spent. Not above the margin of the leases, so
    /// that a grant of a lapsed owner has ended when another takes over.
    milliseconds grant_lifetime{900};
    /// Share of the rate and burst that is fixed for each slot and needs no
    /// owner.
    double fixed_share = 0.3;
    /// Slots that the fixed share is parted among.
    std::uint32_t slots = 16;
};

/// The part of a rate that its owner grants from.
rate_limit granted_part(const rate_limit& total, const quota_timing& timing);

/// The part of a rate that the holder of one slot spends on its own.
rate_limit slot_part(const rate_limit& total, const quota_timing& timing);

} // namespace cicadahub::quota
