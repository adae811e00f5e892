#pragma once

#include "core/snapshot_cell.hpp"
#include "decision/quota/local_rate.hpp"

#include <map>
#include <mutex>

namespace cicadahub::caller
{

/// The tokens that this daemon may spend of each organisation's rate, shared by
/// its threads.
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

    /// Spends tokens that this daemon already holds, without a call to the
    /// owner. May be called from any thread.
    bool try_spend(const organisation_id& organisation, token_count tokens);

    /// Tokens to request from the owner, and grants to return to it.
    refill_request make_refill_request(const organisation_id& organisation,
                                       token_count needed);
    void on_granted(const organisation_id& organisation, const quota::grant& it,
                    time_point asked_at);

    /// Organisations that are low on tokens or have grants to return, so that a
    /// grant should be requested before a request needs it.
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
