#include "decision/sharing/cold_period.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

namespace
{

milliseconds time_to(time_point end, time_point now)
{
    return now < end ? std::chrono::ceil<milliseconds>(end - now)
                     : milliseconds(0);
}

} // namespace

bool cold_period::is_start_during_traffic(time_point first_seen,
                                          std::optional<milliseconds> age,
                                          time_point traffic_since)
{
    const milliseconds least_age = std::max(
        milliseconds(0), age.value_or(milliseconds(0)) - clock_tolerance);
    return first_seen - least_age > traffic_since;
}

time_point cold_period::assumed_end(milliseconds length, time_point first_seen,
                                    std::optional<milliseconds> age)
{
    if (!age)
    {
        return first_seen + length;
    }
    const milliseconds least_age =
        std::max(milliseconds(0), *age - clock_tolerance);
    return first_seen + std::max(milliseconds(0), length - least_age);
}

void cold_period::assume(time_point end)
{
    m_assumed_until = std::max(m_assumed_until, end);
}

void cold_period::extend(time_point& until, milliseconds left, time_point now)
{
    until = std::max(until, now + std::min(left, max_length));
}

void cold_period::on_entry(milliseconds left, time_point now)
{
    if (left > milliseconds(0))
    {
        m_stated_at = now;
        extend(m_stated_until, left, now);
    }
}

void cold_period::on_answer(milliseconds left, time_point now)
{
    if (left > milliseconds(0))
    {
        on_entry(left, now);
        return;
    }
    if (!m_stated_at || *m_stated_at + statement_delay <= now)
    {
        m_assumed_until = {};
        m_stated_until = {};
        m_told_until = {};
    }
}

void cold_period::on_peer(milliseconds left, time_point received_at)
{
    if (left > milliseconds(0))
    {
        extend(m_told_until, left, received_at);
    }
}

time_point cold_period::end() const
{
    return std::max({m_assumed_until, m_stated_until, m_told_until});
}

milliseconds cold_period::left(time_point now) const
{
    return time_to(end(), now);
}

milliseconds cold_period::left_first_hand(time_point now) const
{
    return time_to(std::max(m_assumed_until, m_stated_until), now);
}

} // namespace cicadahub::sharing
