#pragma once

#include "decision/quota/token_bucket.hpp"

#include <deque>
#include <vector>

namespace cicadahub::quota
{

/// What one daemon may spend of one organisation's rate: grants of the owner,
/// and the fixed part of the slot that the daemon holds.
class local_rate
{
public:
    local_rate(rate_limit total, quota_timing timing, time_point now);

    void set_rate(rate_limit total, time_point now);

    /// The daemon holds a slot until `until`, on its own clock. A slot that is
    /// held anew begins with an empty bucket.
    void hold_slot(time_point until, time_point now);

    /// Spends `tokens`, all or none.
    bool spend(token_count tokens, time_point now);

    /// Takes a grant that was asked for at `asked_at`.
    void on_granted(const grant& it, time_point asked_at);

    /// Tokens to ask the owner for, so that `needed` can be spent and what is
    /// usually spent until the next question as well.
    token_count tokens_to_request(token_count needed, time_point now);

    /// True if what is left would soon not do for the usual demand.
    bool is_prefetch_due(time_point now);

    /// Removes grants near their end, to be given back.
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
