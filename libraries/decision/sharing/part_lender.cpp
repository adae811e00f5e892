#include "decision/sharing/part_lender.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

void part_lender::choose(const daemon_id& wanted,
                         std::optional<time_point> heard_at, time_point now)
{
    if (m_borrower != wanted && now < m_ends_at)
    {
        m_is_renewed = false;
        return;
    }
    m_borrower = wanted;
    m_is_lending_to_self = !heard_at;
    m_is_renewed = true;
    if (heard_at)
    {
        m_ends_at = std::max(m_ends_at, *heard_at + loan_time);
    }
}

milliseconds part_lender::time_to_end(time_point now) const
{
    return now < m_ends_at ? std::chrono::ceil<milliseconds>(m_ends_at - now)
                           : milliseconds(0);
}

} // namespace cicadahub::sharing
