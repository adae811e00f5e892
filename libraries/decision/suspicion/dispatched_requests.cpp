#include "decision/suspicion/dispatched_requests.hpp"

#include <algorithm>

namespace cicadahub::suspicion
{

std::map<part_fingerprint, time_point>
dispatched_requests::lasting_parts() const
{
    std::map<part_fingerprint, time_point> found;
    for (const dispatched_request& it : m_dispatched)
    {
        if (!it.has_lasted(*it.server_contact))
        {
            continue;
        }
        for (const auto& part : it.parts)
        {
            time_point& began = found[part];
            began = std::max(began, *it.began);
        }
    }
    return found;
}

std::map<fingerprint, time_point>
dispatched_requests::lasting_suspects(const suspect_table& suspects) const
{
    std::map<fingerprint, time_point> found;
    for (const dispatched_request& it : m_dispatched)
    {
        if (it.has_lasted(*it.server_contact) &&
            suspects.is_suspect(it.request))
        {
            time_point& began = found[it.request];
            began = std::max(began, *it.began);
        }
    }
    return found;
}

} // namespace cicadahub::suspicion
