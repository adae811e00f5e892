#include "decision/admission/refused_requests.hpp"

#include <algorithm>

namespace cicadahub::admission
{

void refused_requests::on_refused(const std::string& request,
                                  time_point arrived, milliseconds retry_after,
                                  time_point now)
{
    const auto early =
        std::chrono::duration_cast<milliseconds>(retry_after * early_part);
    while (!m_refused.empty() && (m_refused.size() >= max_requests ||
                                  m_refused.front().second.until < now))
    {
        forget(m_refused.begin());
    }
    m_refused.push_back(
        {request,
         {arrived, now + retry_after - early,
          now + retry_after + std::max(retry_after, return_grace)}});
    m_by_request.emplace(request, std::prev(m_refused.end()));
}

std::optional<time_point>
refused_requests::take_returned(const std::string& request, time_point now)
{
    const auto [first, last] = m_by_request.equal_range(request);
    const auto it = std::find_if(first, last,
                                 [now](const auto& known)
                                 {
                                     const refused& at = known.second->second;
                                     return at.from <= now && now <= at.until;
                                 });
    if (it == last)
    {
        return std::nullopt;
    }
    const time_point arrived = it->second->second.arrived;
    forget(it->second);
    return arrived;
}

void refused_requests::forget(std::list<entry>::iterator it)
{
    const auto [first, last] = m_by_request.equal_range(it->first);
    m_by_request.erase(std::find_if(
        first, last, [it](const auto& known) { return known.second == it; }));
    m_refused.erase(it);
}

} // namespace cicadahub::admission
