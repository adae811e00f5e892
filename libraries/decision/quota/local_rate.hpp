#pragma once

#include "decision/quota/token_bucket.hpp"

#include <deque>
#include <vector>

namespace cicadahub::quota
{

/// The tokens that one daemon may spend of one organisation's rate: grants from
/// the owner of the rate, and the fixed part of the slot that the daemon holds.
class local_rate
{
public:
    local_rate(rate_limit total, quota_timing timing, time_point now);

    void set_rate(rate_limit total, time_point now);

    /// The daemon holds a slot until `until`, on its own clock. A slot acquired
    /// after the last one expired starts with an empty bucket.
    void hold_slot(time_point until, time_point now);

    /// Spends `tokens`, all or none.
    bool spend(token_count tokens, time_point now);

    /// Adds a grant that was requested at `asked_at`, from which its lifetime
    /// counts.
    void on_granted(const grant& it, time_point asked_at);

    /// Tokens to request from the owner, so that the available ones cover
    /// `needed` and the expected demand until the next request.
    token_count tokens_to_request(token_count needed, time_point now);

    /// True if the available tokens do not cover the expected demand until the
    /// next request.
    bool is_prefetch_due(time_point now);

    /// Removes the grants that expire soon, to be returned to the owner.
    std::vector<returned_grant> take_expiring_grants(time_point now);
    bool has_expiring_grants(time_point now) const;

    token_count available(time_point now);

private:
    struct held_grant
    {
        std::uint64_t number;
        epoch_number epoch;
        std::int64_t tokens;
        time_point expires_at;
    };

    void drop_expired(time_point now);
    void refill_slot(time_point now);
    void record_demand(std::int64_t tokens, time_point now);
    std::int64_t granted() const;

    quota_timing m_timing;
    token_bucket m_slot;
    time_point m_slot_until{};
    std::deque<held_grant> m_grants;
    double m_demand_per_second = 0;
    time_point m_demand_at{};
};

} // namespace cicadahub::quota
