#pragma once

#include "decision/quota/token_bucket.hpp"

#include <map>
#include <vector>

namespace cicadahub::quota
{

/// Grants tokens from the rates of all organisations while the quota shard is
/// held. For each organisation the outstanding grants and the level of the
/// bucket together never exceed the burst. As the bucket fills at the rate, no
/// more than burst + rate * t tokens are spent in any window of length t.
class rate_owner
{
public:
    explicit rate_owner(quota_timing timing) : m_timing(timing) {}

    /// Takes over the shard with empty buckets. `may_have_grants` is true after
    /// a release by the former owner, whose grants may then still be spent for
    /// their lifetime.
    void on_adopted(epoch_number epoch, bool may_have_grants, time_point now);
    void on_lost() { m_is_owner = false; }

    void set_rate(const organisation_id& organisation, rate_limit total,
                  time_point now);
    void remove(const organisation_id& organisation);

    /// Takes back the unspent tokens of earlier grants, then grants up to
    /// `requested` tokens.
    grant on_request(const organisation_id& organisation, token_count requested,
                     const std::vector<returned_grant>& returned,
                     time_point now);

    bool is_owner() const { return m_is_owner; }

    /// True once the grants of the former owner have expired, so that a planned
    /// handover leaves only grants of this owner outstanding.
    bool can_release(time_point now) const;

private:
    struct outstanding_grant
    {
        time_point expires_at;
        std::int64_t tokens;
    };

    struct entry
    {
        explicit entry(rate_limit part) : bucket(part) {}

        token_bucket bucket;
        /// By number, which is also the order of expiry.
        std::map<std::uint64_t, outstanding_grant> grants;
        std::int64_t outstanding = 0;
    };

    void advance(entry& it, time_point now) const;
    token_count bucket_cap(const entry& it, time_point now) const;
    void take_back(entry& it, const returned_grant& returned) const;
    void check_invariants(const entry& it, time_point now) const;

    quota_timing m_timing;
    bool m_is_owner = false;
    epoch_number m_epoch;
    /// Until this time grants of the former owner may still be spent.
    time_point m_former_grants_until{};
    std::uint64_t m_next_number = 1;
    std::map<organisation_id, entry> m_entries;
};

} // namespace cicadahub::quota
