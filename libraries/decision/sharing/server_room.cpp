#include "decision/sharing/server_room.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

namespace
{

/// The backoff is drawn from this part of it upwards to the whole.
constexpr double least_part = 0.5;

} // namespace

void server_room::on_rejected(time_point sent_at, time_point now, double draw)
{
    if (m_rejections > 0 && sent_at < m_rejected_at)
    {
        return;
    }
    m_rejected_at = now;
    milliseconds backoff = first_backoff;
    for (int n = 0; n < m_rejections && backoff < max_backoff; ++n)
    {
        backoff = std::min(2 * backoff, max_backoff);
    }
    ++m_rejections;
    const double part = least_part + (1 - least_part) * draw;
    m_full_until = now + std::chrono::duration_cast<monotonic_clock::duration>(
                             std::chrono::duration<double, std::milli>(
                                 part * static_cast<double>(backoff.count())));
}

void server_room::on_sent(time_point now)
{
    if (m_rejections > 0)
    {
        m_full_until = now + trial_limit;
    }
}

void server_room::on_accepted(time_point sent_at)
{
    if (sent_at < m_rejected_at)
    {
        return;
    }
    m_rejections = 0;
    m_full_until = {};
}

milliseconds server_room::time_to_try(time_point now) const
{
    return is_full(now) ? std::chrono::ceil<milliseconds>(m_full_until - now)
                        : milliseconds(0);
}

} // namespace cicadahub::sharing
