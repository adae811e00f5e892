#include "decision/quota/rate_owner.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace cicadahub::quota
{

namespace
{

constexpr milliseconds shortest_retry{20};

} // namespace

void rate_owner::on_adopted(epoch_number epoch, bool may_have_grants,
                            time_point now)
{
    m_is_owner = true;
    m_epoch = epoch;
    m_former_grants_until =
        may_have_grants ? now + m_timing.grant_lifetime : time_point{};
    for (auto& [id, it] : m_entries)
    {
        it.grants.clear();
        it.outstanding = 0;
        it.bucket.start_empty(now);
    }
}

void rate_owner::set_rate(const organisation_id& organisation, rate_limit total,
                          time_point now)
{
    const rate_limit part = granted_part(total, m_timing);
    const auto [at, is_new] = m_entries.emplace(organisation, entry(part));
    entry& it = at->second;
    if (is_new)
    {
        it.bucket.start_empty(now);
        return;
    }
    if (it.bucket.limit() == part)
    {
        return;
    }
    advance(it, now);
    it.bucket.set_limit(part);
    it.bucket.clamp_to(bucket_cap(it, now));
}

void rate_owner::remove(const organisation_id& organisation)
{
    m_entries.erase(organisation);
}

token_count rate_owner::bucket_cap(const entry& it, time_point now) const
{
    const std::int64_t burst = it.bucket.limit().burst.value();
    const std::int64_t former_grants = now < m_former_grants_until ? burst : 0;
    return token_count(
        std::max<std::int64_t>(0, burst - it.outstanding - former_grants));
}

void rate_owner::advance(entry& it, time_point now) const
{
    // Process the expired grants in order, so that the capacity freed by a
    // grant fills only from its expiry on.
    while (!it.grants.empty() && it.grants.begin()->second.expires_at <= now)
    {
        const outstanding_grant expired = it.grants.begin()->second;
        it.bucket.refill(expired.expires_at,
                         bucket_cap(it, expired.expires_at));
        it.outstanding -= expired.tokens;
        it.grants.erase(it.grants.begin());
    }
    it.bucket.refill(now, bucket_cap(it, now));
}

void rate_owner::take_back(entry& it, const returned_grant& returned) const
{
    const auto at = it.grants.find(returned.number);
    if (returned.epoch != m_epoch || at == it.grants.end())
    {
        // The grant has expired in the meantime or was made by another owner.
        // Its tokens are no longer counted, so there is nothing to take back.
        return;
    }
    const std::int64_t tokens =
        std::clamp<std::int64_t>(returned.tokens.value(), 0, at->second.tokens);
    at->second.tokens -= tokens;
    it.outstanding -= tokens;
    it.bucket.put_back(token_count(tokens));
}

grant rate_owner::on_request(const organisation_id& organisation,
                             token_count requested,
                             const std::vector<returned_grant>& returned,
                             time_point now)
{
    CICADAHUB_INVARIANT(m_is_owner);
    grant result;
    result.epoch = m_epoch;
    const auto at = m_entries.find(organisation);
    if (at == m_entries.end() || requested.value() < 0)
    {
        return result;
    }
    entry& it = at->second;
    advance(it, now);
    for (const returned_grant& each : returned)
    {
        take_back(it, each);
    }
    const std::int64_t tokens =
        std::min(requested.value(), it.bucket.level().value());
    if (tokens > 0 && it.bucket.take(token_count(tokens)))
    {
        result.number = m_next_number++;
        it.grants.emplace(
            result.number,
            outstanding_grant{now + m_timing.grant_lifetime, tokens});
        it.outstanding += tokens;
        result.tokens = token_count(tokens);
    }
    if (tokens < requested.value())
    {
        result.retry_after = std::max(
            shortest_retry,
            it.bucket.time_to(token_count(requested.value() - tokens)));
    }
    check_invariants(it, now);
    return result;
}

bool rate_owner::can_release(time_point now) const
{
    return now >= m_former_grants_until;
}

void rate_owner::check_invariants(const entry& it, time_point now) const
{
    const std::int64_t burst = it.bucket.limit().burst.value();
    if (now >= m_former_grants_until)
    {
        CICADAHUB_INVARIANT(it.bucket.level().value() + it.outstanding <=
                            std::max(burst, it.outstanding));
    }
    CICADAHUB_INVARIANT(it.outstanding >= 0);
}

} // namespace cicadahub::quota
