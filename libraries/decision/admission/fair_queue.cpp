#include "decision/admission/fair_queue.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace cicadahub::admission
{

namespace
{

/// Quantum of the deficit round robin: tokens that a flow gains per turn.
constexpr std::int64_t quantum_tokens = 256;

/// Inverse weight of the newest gap in the mean time between departures.
constexpr double departure_smoothing = 8;

constexpr milliseconds shortest_retry{50};

} // namespace

milliseconds fair_queue::estimated_wait() const
{
    const double us = m_us_between_departures * static_cast<double>(m_count);
    return milliseconds(static_cast<std::int64_t>(us / 1000));
}

bool fair_queue::is_flow_full(const organisation_id& organisation) const
{
    // Limits an organisation to an even share of the queue, with one share
    // kept for a newcomer, so that an organisation that sends many times its
    // share leaves room for the others.
    const auto at = m_flows.find(organisation);
    const std::size_t own =
        at == m_flows.end() ? 0 : at->second.requests.size();
    const std::size_t flows = m_flows.size() + (at == m_flows.end() ? 1 : 0);
    return own >= std::max<std::size_t>(1, m_limits.requests / (flows + 1));
}

std::optional<refusal> fair_queue::add(waiting_request it, time_point now)
{
    const milliseconds retry = std::max(estimated_wait(), shortest_retry);
    if (m_count >= m_limits.requests || m_bytes + it.bytes > m_limits.bytes ||
        is_flow_full(it.organisation))
    {
        return refusal{refusal_kind::queue_full, true, retry};
    }
    flow& to = m_flows[it.organisation];
    // Flows take turns: for each request ahead in its own flow, one request of
    // every flow leaves first.
    const double before = static_cast<double>(
        std::min(m_count, (to.requests.size() + 1) * m_flows.size()));
    const auto wait = microseconds(
        static_cast<std::int64_t>(m_us_between_departures * before));
    if (now + wait >= it.deadline)
    {
        if (to.requests.empty())
        {
            m_flows.erase(it.organisation);
        }
        return refusal{refusal_kind::target_unreachable, true, retry};
    }
    ++m_count;
    m_bytes += it.bytes;
    const auto is_later = [&](const waiting_request& other)
    {
        return other.deadline > it.deadline;
    };
    const auto at =
        std::find_if(to.requests.begin(), to.requests.end(), is_later);
    to.requests.insert(at, std::move(it));
    return std::nullopt;
}

fair_queue::flow_map::iterator fair_queue::next_flow()
{
    auto at = m_flows.upper_bound(m_current);
    return at == m_flows.end() ? m_flows.begin() : at;
}

std::optional<waiting_request> fair_queue::take(time_point now)
{
    if (m_count == 0)
    {
        return std::nullopt;
    }
    auto at = m_flows.find(m_current);
    for (;;)
    {
        if (at != m_flows.end() &&
            at->second.deficit >= at->second.requests.front().cost)
        {
            break;
        }
        at = next_flow();
        m_current = at->first;
        at->second.deficit += quantum_tokens;
    }
    waiting_request it = at->second.requests.front();
    at->second.requests.pop_front();
    at->second.deficit -= it.cost;
    note_removal(it);
    note_departure(now);
    return it;
}

void fair_queue::note_departure(time_point now)
{
    if (m_last_departure != time_point{} && m_count > 0)
    {
        const auto gap = static_cast<double>((now - m_last_departure).count());
        m_us_between_departures +=
            (gap - m_us_between_departures) / departure_smoothing;
    }
    m_last_departure = now;
}

void fair_queue::note_removal(const waiting_request& it)
{
    CICADAHUB_INVARIANT(m_count > 0);
    --m_count;
    m_bytes -= it.bytes;
    const auto at = m_flows.find(it.organisation);
    if (at->second.requests.empty())
    {
        // An idle flow accumulates no deficit.
        m_flows.erase(at);
    }
}

std::vector<waiting_request> fair_queue::take_expired(time_point now)
{
    std::vector<waiting_request> expired;
    for (auto& [organisation, it] : m_flows)
    {
        while (!it.requests.empty() && it.requests.front().deadline <= now)
        {
            expired.push_back(it.requests.front());
            it.requests.pop_front();
        }
    }
    for (const waiting_request& it : expired)
    {
        --m_count;
        m_bytes -= it.bytes;
    }
    std::erase_if(m_flows,
                  [](const auto& it) { return it.second.requests.empty(); });
    return expired;
}

bool fair_queue::cancel(std::uint64_t ticket)
{
    for (auto& [organisation, it] : m_flows)
    {
        const auto at = std::find_if(it.requests.begin(), it.requests.end(),
                                     [&](const waiting_request& each)
                                     { return each.ticket == ticket; });
        if (at != it.requests.end())
        {
            const waiting_request cancelled = *at;
            it.requests.erase(at);
            note_removal(cancelled);
            return true;
        }
    }
    return false;
}

} // namespace cicadahub::admission
