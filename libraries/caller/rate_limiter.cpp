#include "caller/rate_limiter.hpp"

namespace cicadahub::caller
{

std::shared_ptr<rate_limiter::entry>
rate_limiter::find(const organisation_id& organisation) const
{
    const auto entries = m_entries.copy();
    const auto at = entries->find(organisation);
    return at == entries->end() ? nullptr : at->second;
}

void rate_limiter::set_rates(
    const std::map<organisation_id, quota::rate_limit>& rates)
{
    const time_point now = monotonic_clock::now();
    const auto former = m_entries.copy();
    entry_map next;
    for (const auto& [organisation, limit] : rates)
    {
        const auto at = former->find(organisation);
        if (at != former->end())
        {
            std::lock_guard lock(at->second->mutex);
            at->second->rate.set_rate(limit, now);
            next.insert(*at);
            continue;
        }
        auto added =
            std::make_shared<entry>(quota::local_rate(limit, m_timing, now));
        if (now < m_slot_until)
        {
            added->rate.hold_slot(m_slot_until, now);
        }
        next.emplace(organisation, std::move(added));
    }
    m_entries.publish(std::move(next));
}

void rate_limiter::hold_slot(time_point until)
{
    m_slot_until = until;
    const time_point now = monotonic_clock::now();
    const auto entries = m_entries.copy();
    for (const auto& [organisation, it] : *entries)
    {
        std::lock_guard lock(it->mutex);
        it->rate.hold_slot(until, now);
    }
}

bool rate_limiter::try_spend(const organisation_id& organisation,
                             token_count tokens)
{
    const auto it = find(organisation);
    if (!it)
    {
        return false;
    }
    std::lock_guard lock(it->mutex);
    return it->rate.spend(tokens, monotonic_clock::now());
}

rate_limiter::refill_request
rate_limiter::make_refill_request(const organisation_id& organisation,
                                  token_count needed)
{
    refill_request result;
    if (const auto it = find(organisation))
    {
        std::lock_guard lock(it->mutex);
        const time_point now = monotonic_clock::now();
        result.returned = it->rate.take_expiring_grants(now);
        result.wanted = it->rate.tokens_to_request(needed, now);
    }
    return result;
}

void rate_limiter::on_granted(const organisation_id& organisation,
                              const quota::grant& granted, time_point asked_at)
{
    if (const auto it = find(organisation))
    {
        std::lock_guard lock(it->mutex);
        it->rate.on_granted(granted, asked_at);
    }
}

std::vector<organisation_id> rate_limiter::needing_refill()
{
    std::vector<organisation_id> found;
    const time_point now = monotonic_clock::now();
    const auto entries = m_entries.copy();
    for (const auto& [organisation, it] : *entries)
    {
        std::lock_guard lock(it->mutex);
        if (it->rate.is_prefetch_due(now) || it->rate.has_expiring_grants(now))
        {
            found.push_back(organisation);
        }
    }
    return found;
}

} // namespace cicadahub::caller
