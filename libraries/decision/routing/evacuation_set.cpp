#include "decision/routing/evacuation_set.hpp"

#include <algorithm>
#include <vector>

namespace cicadahub::routing
{

void evacuation_set::apply(const std::string& name, object_version version,
                           bool is_deleted)
{
    if (is_deleted)
    {
        remove(name, version);
        return;
    }
    m_seen_in_list.insert(name);
    const auto removed = m_removed.find(name);
    if (removed != m_removed.end() && version <= removed->second)
    {
        return;
    }
    const auto [known, is_new] = m_present.try_emplace(name, version);
    known->second = std::max(known->second, version);
    if (is_new)
    {
        m_removed.erase(name);
        m_changed_version = std::max(m_changed_version, version);
    }
}

void evacuation_set::remove(const std::string& name, object_version version)
{
    const auto known = m_present.find(name);
    if (known != m_present.end() && known->second > version)
    {
        return;
    }
    object_version& removed = m_removed[name];
    removed = std::max(removed, version);
    if (known != m_present.end())
    {
        m_present.erase(known);
        m_changed_version = std::max(m_changed_version, version);
    }
}

void evacuation_set::end_of_batch(bool is_full_list, object_version version)
{
    if (is_full_list)
    {
        m_is_known = true;
        std::vector<std::string> gone;
        for (const auto& [name, seen] : m_present)
        {
            // A watch may have shown an object that is newer than the list.
            if (!m_seen_in_list.contains(name) && seen <= version)
            {
                gone.push_back(name);
            }
        }
        for (const std::string& it : gone)
        {
            remove(it, version);
        }
    }
    m_seen_in_list.clear();
}

std::set<data_centre_id> evacuation_set::data_centres() const
{
    std::set<data_centre_id> all;
    for (const auto& [name, version] : m_present)
    {
        all.insert(data_centre_id(name));
    }
    return all;
}

} // namespace cicadahub::routing
