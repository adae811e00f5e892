#include "decision/routing/unread_prompts.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::routing
{

namespace
{

/// Time over which reports are averaged: several digests at 91 hosts, which
/// come about once a second.
constexpr std::chrono::duration<double, std::milli> usual_window{10'000};
double age_in_ms(time_point since, time_point now)
{
    return std::max(
        0.0, std::chrono::duration<double, std::milli>(now - since).count());
}

} // namespace

unread_prompts::ticket
unread_prompts::on_sent(std::int64_t tokens, std::optional<milliseconds> target,
                        time_point counted_until)
{
    m_running.push_back({++m_last_ticket, tokens, target, counted_until});
    return m_last_ticket;
}

std::vector<unread_prompts::running_prompt>::iterator
unread_prompts::find(ticket it)
{
    return std::find_if(m_running.begin(), m_running.end(),
                        [it](const auto& known) { return known.id == it; });
}

void unread_prompts::on_read(ticket it)
{
    const auto known = find(it);
    if (known != m_running.end())
    {
        known->tokens = 0;
    }
}

void unread_prompts::on_ended(ticket it)
{
    const auto known = find(it);
    if (known != m_running.end())
    {
        m_running.erase(known);
    }
}

void unread_prompts::on_report(std::int64_t tokens, time_point reported_at,
                               time_point now)
{
    const double weight =
        1 - std::exp(-age_in_ms(m_usual_at, now) / usual_window.count());
    m_usual += weight * (static_cast<double>(tokens) - m_usual);
    m_usual_at = now;
    m_reported = tokens;
    m_reported_at = reported_at;
}

std::int64_t unread_prompts::own(time_point now) const
{
    std::int64_t sum = 0;
    for (const running_prompt& it : m_running)
    {
        sum += now < it.counted_until ? it.tokens : 0;
    }
    return sum;
}

double unread_prompts::left_elsewhere(double tokens_per_ms,
                                      time_point now) const
{
    const double age = age_in_ms(m_reported_at, now);
    return std::max(0.0, static_cast<double>(m_reported) - tokens_per_ms * age);
}

std::optional<milliseconds> unread_prompts::shortest_target() const
{
    std::optional<milliseconds> shortest;
    for (const running_prompt& it : m_running)
    {
        if (it.target && (!shortest || *it.target < *shortest))
        {
            shortest = it.target;
        }
    }
    return shortest;
}

} // namespace cicadahub::routing
