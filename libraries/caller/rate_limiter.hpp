#pragma once

#include "core/snapshot_cell.hpp"
#include "decision/quota/local_rate.hpp"

#include <map>
#include <mutex>

namespace cicadahub::caller
{

/// What this daemon may spend of each organisation's rate, for every thread.
class rate_limiter
{
public:
    struct refill_request
    {
        token_count wanted;
        std::vector<quota::returned_grant> returned;
    };

    explicit rate_limiter(quota::quota_timing timing) : m_timing(timing) {}

    void set_rates(const std::map<organisation_id, quota::rate_limit>& rates);
    void hold_slot(time_point until);

    /// Spends without asking anybody; from any thread.
    bool try_spend(const organisation_id& organisation, token_count tokens);

    /// What to ask the owner for, and what to give back to it.
    refill_request make_refill_request(const organisation_id& organisation,
                                       token_count needed);
    void on_granted(const organisation_id& organisation, const quota::grant& it,
                    time_point asked_at);

    /// Organisations for which the owner should be asked ahead.
    std::vector<organisation_id> needing_refill();

    const quota::quota_timing& timing() const { return m_timing; }

private:
    struct entry
    {
        explicit entry(quota::local_rate it) : rate(std::move(it)) {}

        std::mutex mutex;
        quota::local_rate rate;
    };

    using entry_map = std::map<organisation_id, std::shared_ptr<entry>>;

    std::shared_ptr<entry> find(const organisation_id& organisation) const;

    quota::quota_timing m_timing;
    snapshot_cell<entry_map> m_entries;
    time_point m_slot_until{};
};

} // namespace cicadahub::caller
