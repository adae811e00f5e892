#include "decision/sharing/repeat_budget.hpp"

namespace cicadahub::sharing
{

void repeat_budget::drop_old(time_point now)
{
    for (auto* times : {&m_requests, &m_repeats})
    {
        while (!times->empty() && times->front() + m_limits.window < now)
        {
            times->pop_front();
        }
    }
}

void repeat_budget::on_request(time_point now)
{
    drop_old(now);
    m_requests.push_back(now);
}

bool repeat_budget::take(time_point now)
{
    drop_old(now);
    const double allowed =
        m_limits.used_part *
        (m_limits.ratio * static_cast<double>(m_requests.size()) +
         m_limits.extra);
    if (static_cast<double>(m_repeats.size() + 1) > allowed)
    {
        return false;
    }
    m_repeats.push_back(now);
    return true;
}

} // namespace cicadahub::sharing
