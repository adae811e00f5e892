#include "decision/continuity/service_versions.hpp"

#include <algorithm>

namespace cicadahub::continuity
{

void service_versions::set_retention(milliseconds it)
{
    m_retention = std::max(m_retention, it);
}

void service_versions::on_listed(version_sets listed, time_point now)
{
    // What was listed until now was last seen now.
    for (const auto* sets : {&m_listed, &listed})
    {
        for (const auto& [service, versions] : *sets)
        {
            for (const software_version& it : versions)
            {
                m_last_listed[service][it] = now;
            }
        }
    }
    m_listed = std::move(listed);
}

void service_versions::on_recorded(const version_sets& recorded, time_point now)
{
    m_has_record = true;
    for (const auto& [service, versions] : recorded)
    {
        for (const software_version& it : versions)
        {
            m_last_listed[service][it] = now;
        }
    }
}

bool service_versions::is_past_known(time_point now) const
{
    return m_has_record ||
           (m_retention.count() > 0 && m_started + m_retention < now);
}

bool service_versions::is_current(const service_id& service,
                                  const software_version& version,
                                  time_point last_listed, time_point now) const
{
    const auto listed = m_listed.find(service);
    const bool is_listed =
        listed != m_listed.end() && listed->second.contains(version);
    return is_listed || now <= last_listed + m_retention;
}

std::optional<software_version>
service_versions::sole_version(const service_id& service, time_point now) const
{
    const auto known = m_last_listed.find(service);
    if (known == m_last_listed.end() || !is_past_known(now))
    {
        return std::nullopt;
    }
    std::optional<software_version> sole;
    for (const auto& [version, last_listed] : known->second)
    {
        if (!is_current(service, version, last_listed, now))
        {
            continue;
        }
        if (sole)
        {
            return std::nullopt;
        }
        sole = version;
    }
    return sole;
}

service_versions::version_sets service_versions::current(time_point now)
{
    version_sets all;
    for (auto& [service, versions] : m_last_listed)
    {
        const service_id& name = service;
        std::erase_if(versions, [&](const auto& it)
                      { return !is_current(name, it.first, it.second, now); });
        for (const auto& [version, last_listed] : versions)
        {
            all[service].insert(version);
        }
    }
    std::erase_if(m_last_listed,
                  [](const auto& it) { return it.second.empty(); });
    return all;
}

} // namespace cicadahub::continuity
