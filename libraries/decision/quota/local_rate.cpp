#include "decision/quota/local_rate.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::quota
{

namespace
{

/// Time constant of the moving average of the demand.
constexpr double demand_averaging_seconds = 1.0;

/// Tokens requested in advance cover the expected demand of this fraction of a
/// grant's lifetime.
constexpr double prefetch_share = 0.35;

/// Unspent tokens of a grant are returned during this last fraction of its
/// lifetime.
constexpr double return_share = 0.35;

double seconds_of(monotonic_clock::duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

local_rate::local_rate(rate_limit total, quota_timing timing, time_point now)
    : m_timing(timing), m_slot(slot_part(total, timing)), m_demand_at(now)
{
    m_slot.start_empty(now);
}

void local_rate::set_rate(rate_limit total, time_point now)
{
    const rate_limit part = slot_part(total, m_timing);
    if (m_slot.limit() == part)
    {
        return;
    }
    refill_slot(now);
    m_slot.set_limit(part);
    m_slot.clamp_to(part.burst);
}

void local_rate::hold_slot(time_point until, time_point now)
{
    if (now >= m_slot_until)
    {
        // The former holder of the slot may just have spent its burst.
        m_slot.start_empty(now);
    }
    m_slot_until = until;
}

void local_rate::refill_slot(time_point now)
{
    m_slot.refill(std::min(now, m_slot_until), m_slot.limit().burst);
}

void local_rate::drop_expired(time_point now)
{
    std::erase_if(m_grants,
                  [&](const held_grant& it) { return it.expires_at <= now; });
}

std::int64_t local_rate::granted() const
{
    std::int64_t tokens = 0;
    for (const held_grant& it : m_grants)
    {
        tokens += it.tokens;
    }
    return tokens;
}

token_count local_rate::available(time_point now)
{
    drop_expired(now);
    refill_slot(now);
    const std::int64_t fixed = now < m_slot_until ? m_slot.level().value() : 0;
    return token_count(granted() + fixed);
}

void local_rate::record_demand(std::int64_t tokens, time_point now)
{
    const double elapsed = seconds_of(now - m_demand_at);
    const double decay = std::exp(-elapsed / demand_averaging_seconds);
    m_demand_per_second =
        m_demand_per_second * decay +
        static_cast<double>(tokens) / demand_averaging_seconds;
    m_demand_at = now;
}

bool local_rate::spend(token_count tokens, time_point now)
{
    if (available(now) < tokens)
    {
        return false;
    }
    record_demand(tokens.value(), now);
    std::int64_t left = tokens.value();
    // Spend grants first: they expire, the tokens of the slot do not.
    for (held_grant& it : m_grants)
    {
        const std::int64_t part = std::min(left, it.tokens);
        it.tokens -= part;
        left -= part;
    }
    std::erase_if(m_grants,
                  [](const held_grant& it) { return it.tokens == 0; });
    if (left > 0)
    {
        const bool is_taken = m_slot.take(token_count(left));
        CICADAHUB_INVARIANT(is_taken && now < m_slot_until);
    }
    return true;
}

void local_rate::on_granted(const grant& it, time_point asked_at)
{
    if (it.tokens.value() > 0)
    {
        m_grants.push_back({it.number, it.epoch, it.tokens.value(),
                            asked_at + m_timing.grant_lifetime});
    }
}

token_count local_rate::tokens_to_request(token_count needed, time_point now)
{
    const double prefetch = m_demand_per_second * prefetch_share *
                            seconds_of(m_timing.grant_lifetime);
    const std::int64_t target =
        needed.value() + static_cast<std::int64_t>(std::ceil(prefetch));
    return token_count(
        std::max<std::int64_t>(0, target - available(now).value()));
}

bool local_rate::is_prefetch_due(time_point now)
{
    return tokens_to_request(token_count(0), now).value() > 0;
}

bool local_rate::has_expiring_grants(time_point now) const
{
    const auto margin = std::chrono::duration_cast<monotonic_clock::duration>(
        m_timing.grant_lifetime * return_share);
    return std::any_of(m_grants.begin(), m_grants.end(),
                       [&](const held_grant& it) {
                           return it.expires_at > now &&
                                  it.expires_at - now < margin;
                       });
}

std::vector<returned_grant> local_rate::take_expiring_grants(time_point now)
{
    const auto margin = std::chrono::duration_cast<monotonic_clock::duration>(
        m_timing.grant_lifetime * return_share);
    std::vector<returned_grant> returns;
    drop_expired(now);
    for (const held_grant& it : m_grants)
    {
        if (it.expires_at - now < margin)
        {
            returns.push_back({it.number, it.epoch, token_count(it.tokens)});
        }
    }
    std::erase_if(m_grants, [&](const held_grant& it)
                  { return it.expires_at - now < margin; });
    return returns;
}

} // namespace cicadahub::quota
