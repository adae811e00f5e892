#include "decision/continuity/origin_history.hpp"

#include <algorithm>

namespace cicadahub::continuity
{

namespace
{

/// Without news, services are only found to be less ambiguous than before, and
/// that may be late: more streams are told and recorded meanwhile.
constexpr milliseconds sole_services_lifetime{5'000};

bool is_covered(const request_path& path, const request_path& by)
{
    return path.host == by.host && path.path.starts_with(by.path);
}

} // namespace

origin_history::origin_history(time_point started)
    : m_versions(started), m_services(started), m_services_by_name(started)
{
}

void origin_history::set_retention(milliseconds it)
{
    m_versions.set_retention(it);
    m_services.set_retention(it);
    m_services_by_name.set_retention(it);
    m_sole_services.reset();
}

void origin_history::on_servers(service_versions::sets listed, time_point now)
{
    m_withheld_versions.on_listed(listed, now);
    m_versions.on_listed(std::move(listed), now);
    m_sole_services.reset();
}

void origin_history::on_routes(const std::vector<resumable_route>& routes,
                               time_point now)
{
    path_services::sets by_path;
    route_services::sets by_name;
    std::map<request_path, listed_route> listed;
    for (const resumable_route& it : routes)
    {
        by_path[it.covers].insert(it.services.begin(), it.services.end());
        by_name[it.name].insert(it.services.begin(), it.services.end());
        const auto known = m_listed.find(it.covers);
        listed_route route = known == m_listed.end()
                                 ? listed_route{it.name, now, false}
                                 : known->second;
        route.name = it.name;
        listed.insert_or_assign(it.covers, std::move(route));
    }
    m_listed = std::move(listed);
    m_withheld_services.on_listed(by_path, now);
    m_services.on_listed(std::move(by_path), now);
    m_services_by_name.on_listed(std::move(by_name), now);
    m_sole_services.reset();
    if (!m_first_listed_at)
    {
        m_first_listed_at = now;
        compare_with_record(now);
    }
}

void origin_history::on_recorded(const record& it, time_point now)
{
    // What this host has seen itself says more of routes than a later record.
    const bool is_first = !m_services.is_past_known(now);
    m_versions.on_recorded(it.versions, now);
    m_services.on_recorded(it.services, now);
    m_services_by_name.on_recorded(it.services_by_name, now);
    m_sole_services.reset();
    if (is_first)
    {
        m_uncompared = it;
        m_former = it;
        m_former_read_at = now;
    }
    on_written(it);
    if (m_first_listed_at)
    {
        compare_with_record(now);
    }
}

void origin_history::on_written(const record& it)
{
    m_is_record_known = true;
    m_withheld_versions.on_recorded(it.versions);
    m_withheld_services.on_recorded(it.services);
}

bool origin_history::may_begin(const request_path& route,
                               const service_id& service, time_point now) const
{
    return !m_withheld_services.is_withheld(route, service, now);
}

bool origin_history::may_begin(const stream_origin& it, time_point now) const
{
    return !m_withheld_versions.is_withheld(it.service, it.version, now);
}

bool origin_history::is_any_withheld(time_point now) const
{
    return m_withheld_versions.is_any_withheld(now) ||
           m_withheld_services.is_any_withheld(now);
}

void origin_history::compare_with_record(time_point now)
{
    if (!m_uncompared)
    {
        return;
    }
    const record recorded = std::move(*m_uncompared);
    m_uncompared.reset();
    if (recorded.services.empty() && !recorded.services_by_name.empty())
    {
        adopt_names(recorded.services_by_name, now);
        return;
    }
    const bool has_begun_none = recorded.services.empty();
    for (auto& [path, route] : m_listed)
    {
        const bool is_first = route.since == *m_first_listed_at;
        route.is_recorded_as_settled =
            is_first && (has_begun_none || recorded.settled.contains(path));
        // Configurations that nobody recorded may lie between.
        if (is_first && !has_begun_none && !recorded.services.contains(path))
        {
            m_unproved[path] = now;
        }
    }
}

void origin_history::adopt_names(const route_services::sets& recorded,
                                 time_point now)
{
    path_services::sets by_path;
    std::size_t found = 0;
    for (const auto& [path, route] : m_listed)
    {
        const auto known = recorded.find(route.name);
        if (known == recorded.end())
        {
            m_unproved[path] = now;
            continue;
        }
        ++found;
        by_path[path].insert(known->second.begin(), known->second.end());
    }
    m_services.on_recorded(by_path, now);
    if (found == recorded.size())
    {
        return;
    }
    // Nobody knows which paths the other names stood for.
    for (const auto& [path, route] : m_listed)
    {
        m_unproved[path] = now;
    }
}

bool origin_history::is_past_known(time_point now) const
{
    return m_versions.is_past_known(now) && m_services.is_past_known(now);
}

bool origin_history::is_settled(const request_path& route, time_point now) const
{
    const auto listed = m_listed.find(route);
    return listed != m_listed.end() &&
           (listed->second.is_recorded_as_settled ||
            listed->second.since + m_services.retention() < now);
}

bool origin_history::is_past_unproved(const request_path& route,
                                      time_point now) const
{
    const auto known = m_unproved.find(route);
    return known != m_unproved.end() &&
           now <= known->second + m_services.retention();
}

std::vector<request_path> origin_history::covering(const request_path& path,
                                                   time_point now) const
{
    std::vector<request_path> found = m_services.keys(
        [&](const request_path& it) { return is_covered(path, it); }, now);
    // A request goes by the route with the longest prefix, and by a shorter one
    // only while there is no longer one.
    std::sort(found.begin(), found.end(),
              [](const request_path& left, const request_path& right)
              { return left.path.size() > right.path.size(); });
    const auto settled = std::find_if(found.begin(), found.end(),
                                      [&](const request_path& it)
                                      { return is_settled(it, now); });
    if (settled != found.end())
    {
        found.erase(settled + 1, found.end());
    }
    return found;
}

std::set<stream_origin>
origin_history::origins_of(const std::vector<request_path>& routes,
                           time_point now) const
{
    std::set<stream_origin> found;
    for (const request_path& route : routes)
    {
        for (const service_id& service : m_services.values(route, now))
        {
            for (const software_version& it : m_versions.values(service, now))
            {
                found.insert({service, it});
            }
        }
    }
    return found;
}

std::set<stream_origin> origin_history::origins(const request_path& path,
                                                time_point now) const
{
    return origins_of(covering(path, now), now);
}

bool origin_history::is_past_proved(const std::vector<request_path>& routes,
                                    time_point now) const
{
    return is_past_known(now) &&
           std::none_of(routes.begin(), routes.end(),
                        [&](const request_path& it)
                        { return is_past_unproved(it, now); });
}

std::optional<stream_origin>
origin_history::sole_origin(const request_path& path, time_point now) const
{
    const std::vector<request_path> routes = covering(path, now);
    const std::set<stream_origin> found = origins_of(routes, now);
    if (!is_past_proved(routes, now) || found.size() != 1)
    {
        return std::nullopt;
    }
    return *found.begin();
}

std::optional<std::set<stream_origin>>
origin_history::former_origins_of(const std::vector<request_path>& routes) const
{
    std::set<stream_origin> found;
    for (const request_path& route : routes)
    {
        const auto services = m_former->services.find(route);
        if (services == m_former->services.end())
        {
            return std::nullopt;
        }
        for (const service_id& service : services->second)
        {
            const auto versions = m_former->versions.find(service);
            if (versions == m_former->versions.end())
            {
                return std::nullopt;
            }
            for (const software_version& it : versions->second)
            {
                found.insert({service, it});
            }
        }
    }
    return found;
}

std::optional<stream_origin>
origin_history::sole_former_origin(const request_path& path,
                                   time_point now) const
{
    const bool may_be_alive = m_former && m_former->is_ahead &&
                              now <= m_former_read_at + m_services.retention();
    const std::vector<request_path> routes = covering(path, now);
    if (!may_be_alive || !is_past_proved(routes, now))
    {
        return std::nullopt;
    }
    const auto found = former_origins_of(routes);
    if (!found || found->size() != 1)
    {
        return std::nullopt;
    }
    // Where nothing that is recorded is listed, streams begin at once.
    const stream_origin sole = *found->begin();
    const bool may_be_replaced =
        !m_versions.is_listed(sole.service, sole.version) ||
        std::any_of(routes.begin(), routes.end(),
                    [&](const request_path& it) {
                        return m_listed.contains(it) &&
                               !m_services.is_listed(it, sole.service);
                    });
    return may_be_replaced ? std::nullopt : std::optional(sole);
}

origin_history::sole_services
origin_history::find_sole_services(time_point now) const
{
    sole_services found{now, {}};
    std::set<service_id> ambiguous;
    for (const auto& [path, services] : m_services.all(now))
    {
        std::set<service_id>& led_to =
            sole_origin(path, now) ? found.services : ambiguous;
        for (const request_path& route : covering(path, now))
        {
            led_to.merge(m_services.values(route, now));
        }
    }
    for (const service_id& it : ambiguous)
    {
        found.services.erase(it);
    }
    return found;
}

bool origin_history::is_ambiguous(const service_id& service,
                                  time_point now) const
{
    if (!m_sole_services ||
        m_sole_services->found_at + sole_services_lifetime < now)
    {
        m_sole_services = find_sole_services(now);
    }
    return !m_sole_services->services.contains(service);
}

origin_history::record origin_history::current(time_point now) const
{
    record it{m_versions.all(now),
              m_services.all(now),
              {},
              m_services_by_name.all(now),
              false};
    for (const auto& [path, route] : m_listed)
    {
        if (is_settled(path, now))
        {
            it.settled.insert(path);
        }
    }
    return it;
}

void origin_history::forget(time_point now)
{
    m_versions.forget(now);
    m_services.forget(now);
    m_services_by_name.forget(now);
    m_withheld_versions.forget(m_versions.all(now));
    m_withheld_services.forget(m_services.all(now));
    m_sole_services.reset();
    std::erase_if(m_unproved, [&](const auto& it)
                  { return !is_past_unproved(it.first, now); });
}

} // namespace cicadahub::continuity
