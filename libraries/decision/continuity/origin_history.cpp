#include "decision/continuity/origin_history.hpp"

namespace cicadahub::continuity
{

origin_history::origin_history(time_point started)
    : m_versions(started), m_services(started)
{
}

void origin_history::set_retention(milliseconds it)
{
    m_versions.set_retention(it);
    m_services.set_retention(it);
}

void origin_history::on_servers(service_versions::sets listed, time_point now)
{
    m_versions.on_listed(std::move(listed), now);
}

void origin_history::on_routes(route_services::sets routes, time_point now)
{
    const bool has_past = !m_services.all(now).empty();
    for (const auto& [name, services] : routes)
    {
        if (has_past && m_services.values(name, now).empty())
        {
            m_added[name] = now;
        }
    }
    m_listed = routes;
    m_services.on_listed(std::move(routes), now);
}

void origin_history::on_recorded(const record& it, time_point now)
{
    m_versions.on_recorded(it.versions, now);
    m_services.on_recorded(it.services, now);
    for (const auto& [name, services] : m_listed)
    {
        if (!it.services.empty() && !it.services.contains(name))
        {
            m_added[name] = now;
        }
    }
}

bool origin_history::is_past_known(time_point now) const
{
    return m_versions.is_past_known(now) && m_services.is_past_known(now);
}

bool origin_history::is_new(const route_id& route, time_point now) const
{
    const auto added = m_added.find(route);
    return added != m_added.end() &&
           now <= added->second + m_services.retention();
}

std::set<stream_origin> origin_history::origins(const route_id& route,
                                                time_point now) const
{
    std::set<stream_origin> found;
    for (const service_id& service : m_services.values(route, now))
    {
        for (const software_version& it : m_versions.values(service, now))
        {
            found.insert({service, it});
        }
    }
    return found;
}

std::optional<stream_origin> origin_history::sole_origin(const route_id& route,
                                                         time_point now) const
{
    const std::set<stream_origin> found = origins(route, now);
    // A caller may take up a stream that began under a former name of its
    // route, which may have led elsewhere.
    if (found.size() != 1 || !is_past_known(now) || is_new(route, now))
    {
        return std::nullopt;
    }
    return *found.begin();
}

bool origin_history::is_ambiguous(const service_id& service,
                                  time_point now) const
{
    bool is_led_to = false;
    for (const auto& [name, services] : m_services.all(now))
    {
        if (!services.contains(service))
        {
            continue;
        }
        is_led_to = true;
        if (!sole_origin(name, now))
        {
            return true;
        }
    }
    return !is_led_to;
}

origin_history::record origin_history::current(time_point now) const
{
    return {m_versions.all(now), m_services.all(now)};
}

void origin_history::forget(time_point now)
{
    m_versions.forget(now);
    m_services.forget(now);
    std::erase_if(m_added,
                  [&](const auto& it) { return !is_new(it.first, now); });
}

} // namespace cicadahub::continuity
