#include "entry/fleet_view.hpp"

#include "core/structured_log.hpp"

namespace cicadahub::entry
{

bool fleet_view::on_digest(fleet::wire::Digest it, const http::endpoint& from,
                           time_point now)
{
    const auto known = m_peers.find(it.sender);
    if (known != m_peers.end())
    {
        const auto& former = known->second.digest;
        if (std::pair(it.incarnation, it.number) <=
            std::pair(former.incarnation, former.number))
        {
            return false;
        }
    }
    else
    {
        log_event(severity::info, event_number::peer_connected,
                  {{"peer", it.sender}, {"address", http::to_string(from)}});
    }
    std::string name = it.sender;
    m_peers[std::move(name)] = {std::move(it), from, now};
    return true;
}

bool fleet_view::drop_silent(time_point now)
{
    return std::erase_if(
               m_peers,
               [&](const auto& it)
               {
                   const bool is_silent =
                       it.second.heard_at + silence_limit < now;
                   if (is_silent)
                   {
                       log_event(severity::info, event_number::peer_lost,
                                 {{"peer", it.first}});
                   }
                   return is_silent;
               }) > 0;
}

const peer* fleet_view::placement_holder() const
{
    const peer* newest = nullptr;
    for (const auto& [name, it] : m_peers)
    {
        if (it.digest.__isset.placement_epoch &&
            (newest == nullptr || it.digest.placement_epoch >
                                      newest->digest.placement_epoch))
        {
            newest = &it;
        }
    }
    return newest;
}

std::unordered_map<std::string, std::uint32_t>
fleet_view::running_by_server() const
{
    std::unordered_map<std::string, std::uint32_t> sum;
    for (const auto& [name, it] : m_peers)
    {
        for (const auto& work : it.digest.work)
        {
            sum[work.server] += static_cast<std::uint32_t>(work.running);
        }
    }
    return sum;
}

double fleet_view::demand_of(const organisation_id& organisation) const
{
    double sum = 0;
    for (const auto& [name, it] : m_peers)
    {
        for (const auto& demand : it.digest.demand)
        {
            if (demand.organisation == organisation.value())
            {
                sum += demand.per_second;
            }
        }
    }
    return sum;
}

} // namespace cicadahub::entry
