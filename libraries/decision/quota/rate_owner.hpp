#pragma once

#include "decision/quota/token_bucket.hpp"

#include <map>
#include <vector>

namespace cicadahub::quota
{

/// Grants allowances from the rates of all organisations, while the quota shard
/// is held. For each organisation, what is granted and may still be spent, and
/// what is left to grant, never exceed the burst together; with a level that
/// grows at the rate, no window of length t then sees more than
/// burst + rate * t spent.
class rate_owner
{
public:
    explicit rate_owner(quota_timing timing) : m_timing(timing) {}

    /// Takes the shard over. All buckets are empty; after a release by a
    /// former owner its grants may still be spent for their lifetime.
    void on_adopted(epoch_number epoch, bool may_have_grants, time_point now);
    void on_lost() { m_is_owner = false; }

    void set_rate(const organisation_id& organisation, rate_limit total,
                  time_point now);
    void remove(const organisation_id& organisation);

    /// Takes back what is left of former grants, then grants up to `requested`
    /// tokens.
    grant on_request(const organisation_id& organisation, token_count requested,
                     const std::vector<returned_grant>& returned,
                     time_point now);

    bool is_owner() const { return m_is_owner; }

    /// True once a planned handover leaves no unknown grants behind.
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
        /// By number, which is also the order of their ends.
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
    /// Until then grants of a former owner may be spent.
    time_point m_former_grants_until{};
    std::uint64_t m_next_number = 1;
    std::map<organisation_id, entry> m_entries;
};

} // namespace cicadahub::quota
