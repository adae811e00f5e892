#include "decision/sharing/rate_parts.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

void rate_parts::set(const daemon_id& lender, double part, time_point from,
                     time_point until)
{
    if (from <= m_given_back_at)
    {
        return;
    }
    if (part <= 0)
    {
        m_loans.erase(lender);
        return;
    }
    m_loans[lender] = {part, until};
}

void rate_parts::give_back(time_point now)
{
    m_loans.clear();
    m_given_back_at = now;
}

double rate_parts::sum(time_point now) const
{
    double sum = 0;
    for (const auto& [lender, it] : m_loans)
    {
        sum += now < it.until ? it.part : 0;
    }
    // Hosts that do not know yet of another one own more than their parts.
    return std::min(sum, 1.0);
}

double rate_parts::seconds_of_rate(time_point from, time_point to) const
{
    double sum = 0;
    for (const auto& [lender, it] : m_loans)
    {
        const std::chrono::duration<double> used =
            std::min(to, it.until) - from;
        sum += it.part * std::max(0.0, used.count());
    }
    const std::chrono::duration<double> whole = to - from;
    return std::min(sum, std::max(0.0, whole.count()));
}

void rate_parts::discard_ended(time_point now)
{
    std::erase_if(m_loans,
                  [now](const auto& it) { return it.second.until <= now; });
}

} // namespace cicadahub::sharing
