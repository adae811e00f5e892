#include "decision/quota/types.hpp"

#include <cmath>

namespace cicadahub::quota
{

namespace
{

rate_limit scaled(const rate_limit& total, double factor)
{
    // Round down, so that the parts never add up to more than the total.
    const double burst = static_cast<double>(total.burst.value()) * factor;
    return {total.tokens_per_second * factor,
            token_count(static_cast<std::int64_t>(std::floor(burst)))};
}

} // namespace

rate_limit granted_part(const rate_limit& total, const quota_timing& timing)
{
    return scaled(total, 1 - timing.fixed_share);
}

rate_limit slot_part(const rate_limit& total, const quota_timing& timing)
{
    return scaled(total, timing.fixed_share / timing.slots);
}

} // namespace cicadahub::quota
