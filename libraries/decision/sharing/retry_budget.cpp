#include "decision/sharing/retry_budget.hpp"

namespace cicadahub::sharing
{

void retry_budget::discard_expired(time_point now)
{
    for (auto* times : {&m_requests, &m_retries})
    {
        while (!times->empty() && times->front() + m_limits.window < now)
        {
            times->pop_front();
        }
    }
}

void retry_budget::on_request(time_point now)
{
    discard_expired(now);
    m_requests.push_back(now);
}

bool retry_budget::take(time_point now)
{
    discard_expired(now);
    const double allowed =
        m_limits.used_share *
        (m_limits.ratio * static_cast<double>(m_requests.size()) +
         m_limits.extra);
    if (static_cast<double>(m_retries.size() + 1) > allowed)
    {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

} // namespace cicadahub::sharing
