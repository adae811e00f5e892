#include "decision/sharing/server_limit.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::sharing
{

namespace
{

/// Part of the time in which each host would get one token after which a host
/// that got none asks again: not all hosts have requests for the server.
constexpr double share_of_turns = 0.25;
/// Hosts lend their parts within about this time.
constexpr milliseconds time_to_get_parts{500};

/// From 0 to 1, different for each host.
double phase_of(const daemon_id& host)
{
    constexpr std::size_t phases = 1'024;
    return static_cast<double>(std::hash<daemon_id>{}(host) % phases) / phases;
}

milliseconds to_milliseconds(double seconds)
{
    constexpr double milliseconds_per_second = 1'000;
    return milliseconds(static_cast<std::int64_t>(
        std::ceil(seconds * milliseconds_per_second)));
}

} // namespace

bool server_limit::on_answer(std::optional<double> requests_per_second,
                             time_point heard_at, time_point now)
{
    if (m_heard_at && heard_at <= *m_heard_at)
    {
        return false;
    }
    if (!m_heard_at && !requests_per_second)
    {
        return false;
    }
    settle(now);
    const bool was_limited = is_limited(now);
    m_heard_at = heard_at;
    const bool has_changed = m_requests_per_second != requests_per_second;
    if (!m_requests_per_second && !was_limited)
    {
        m_tokens = 0;
    }
    m_requests_per_second = requests_per_second;
    return has_changed;
}

void server_limit::set_cold(std::optional<double> requests_per_second,
                            time_point until, double burst, time_point now)
{
    settle(now);
    const bool was_limited = is_limited(now);
    m_cold_rate = requests_per_second;
    m_cold_until = until;
    m_cold_burst = std::clamp(burst, 0.0, burst_seconds);
    if (!was_limited && is_limited(now))
    {
        // What was sent before counts in the first second too.
        m_tokens = std::min(m_tokens, 0.0);
    }
}

bool server_limit::is_named(time_point now) const
{
    return m_requests_per_second && now < *m_heard_at + notice_lifetime;
}

bool server_limit::is_cold(time_point now) const
{
    return m_cold_rate && now < m_cold_until;
}

bool server_limit::is_limited(time_point now) const
{
    return is_named(now) || is_cold(now);
}

std::optional<double>
server_limit::named_requests_per_second(time_point now) const
{
    return is_named(now) ? m_requests_per_second : std::nullopt;
}

std::optional<double> server_limit::requests_per_second(time_point now) const
{
    const auto named = named_requests_per_second(now);
    if (!is_cold(now))
    {
        return named;
    }
    return std::min(*m_cold_rate, named.value_or(*m_cold_rate));
}

double server_limit::burst(time_point now) const
{
    return is_cold(now) ? m_cold_burst : burst_seconds;
}

double server_limit::whole_rate(time_point now) const
{
    return std::max(requests_per_second(now).value_or(0),
                    min_requests_per_second);
}

double server_limit::tokens(time_point now) const
{
    const double rate = whole_rate(now);
    const double cap = 1 + rate * m_parts.sum(now) * burst(now);
    return std::min(cap, m_tokens +
                             rate * m_parts.seconds_of_rate(m_settled_at, now));
}

void server_limit::settle(time_point now)
{
    m_tokens = tokens(now);
    m_settled_at = now;
    m_parts.discard_ended(now);
}

void server_limit::on_part(const daemon_id& lender, double part,
                           time_point from, time_point until, time_point now)
{
    settle(now);
    const bool had_parts = m_parts.sum(now) > 0;
    m_parts.set(lender, part, from, until);
    if (!had_parts)
    {
        // Hosts that are apart from each other, and each begin to send with
        // their own parts, do not all send at the same moment.
        m_tokens = std::min(m_tokens, -(1 - part) * phase_of(lender));
        m_bookings.clear();
    }
}

void server_limit::give_parts_back(time_point now)
{
    settle(now);
    m_parts.give_back(now);
}

std::size_t server_limit::bookings_before(const request_id& request,
                                          time_point now) const
{
    std::size_t n = 0;
    for (const booking& it : m_bookings)
    {
        if (it.request == request)
        {
            break;
        }
        n += now <= it.due + booking_grace ? 1 : 0;
    }
    return n;
}

milliseconds server_limit::time_to_send(const request_id& request,
                                        time_point now) const
{
    if (!is_limited(now))
    {
        return milliseconds(0);
    }
    const double needed =
        1 + static_cast<double>(bookings_before(request, now));
    const double missing = needed - tokens(now);
    const double part = m_parts.sum(now);
    if (missing <= 0 && part > 0)
    {
        return milliseconds(0);
    }
    const double soon = std::max(part, m_expected_part);
    return soon > 0 ? std::max(milliseconds(1),
                               to_milliseconds(std::max(0.0, missing) /
                                               (whole_rate(now) * soon)))
                    : time_to_get_parts;
}

milliseconds server_limit::time_to_ask(const daemon_id& sender,
                                       time_point now) const
{
    return is_limited(now) && sender == m_withheld_by && now < m_withheld_until
               ? std::chrono::ceil<milliseconds>(m_withheld_until - now)
               : milliseconds(0);
}

void server_limit::book(const request_id& request, time_point now)
{
    std::erase_if(m_bookings, [now](const booking& it)
                  { return it.due + booking_grace < now; });
    const bool has_booking = std::any_of(m_bookings.begin(), m_bookings.end(),
                                         [&request](const booking& it)
                                         { return it.request == request; });
    if (!has_booking)
    {
        m_bookings.push_back({request, now + time_to_send(request, now)});
    }
}

void server_limit::on_sent(const request_id& request, time_point now)
{
    settle(now);
    m_tokens -= 1;
    std::erase_if(m_bookings, [&request](const booking& it)
                  { return it.request == request; });
}

void server_limit::on_withheld(const daemon_id& sender, milliseconds wait,
                               time_point now)
{
    m_withheld_by = sender;
    m_withheld_until = now + wait;
}

void server_limit::on_withheld_without_wait(const daemon_id& sender,
                                            std::size_t hosts, time_point now)
{
    // Many hosts that ask often would cost more than the requests themselves.
    const double turns =
        std::max(1.0, share_of_turns * static_cast<double>(hosts));
    on_withheld(sender, to_milliseconds(turns / whole_rate(now)), now);
}

} // namespace cicadahub::sharing
