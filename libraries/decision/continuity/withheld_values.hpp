#pragma once

#include "core/units.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace cicadahub::continuity
{

/// For each key, the listed values under which no stream may begin yet, since
/// hosts that start later would not know of them: those that the record lacks
/// while it has another listed one.
template<class Key, class Value>
class withheld_values
{
public:
    using sets = std::map<Key, std::set<Value>>;

    /// Values that are not recorded by then are no longer withheld: nobody
    /// writes, or the store is away. Longer than it takes until another host
    /// writes in place of one that is lost.
    static constexpr milliseconds longest_hold{10'000};

    void on_listed(const sets& listed, time_point now)
    {
        std::map<Key, std::map<Value, time_point>> since;
        for (const auto& [key, values] : listed)
        {
            const auto known = m_listed_since.find(key);
            for (const Value& it : values)
            {
                const bool is_known =
                    known != m_listed_since.end() && known->second.contains(it);
                since[key][it] = is_known ? known->second.at(it) : now;
            }
        }
        m_listed_since = std::move(since);
    }

    void on_recorded(sets recorded) { m_recorded = std::move(recorded); }

    /// Drops what is not in `current`, which is no longer recorded either.
    void forget(const sets& current)
    {
        for (auto& [key, values] : m_recorded)
        {
            const auto known = current.find(key);
            std::erase_if(values,
                          [&](const Value& it) {
                              return known == current.end() ||
                                     !known->second.contains(it);
                          });
        }
    }

    bool is_withheld(const Key& key, const Value& value, time_point now) const
    {
        const auto listed = m_listed_since.find(key);
        const auto recorded = m_recorded.find(key);
        if (listed == m_listed_since.end() || recorded == m_recorded.end() ||
            recorded->second.contains(value))
        {
            return false;
        }
        const auto since = listed->second.find(value);
        const bool is_overdue = since == listed->second.end() ||
                                since->second + longest_hold <= now;
        return !is_overdue &&
               std::any_of(listed->second.begin(), listed->second.end(),
                           [&](const auto& it)
                           { return recorded->second.contains(it.first); });
    }

    bool is_any_withheld(time_point now) const
    {
        return std::any_of(
            m_listed_since.begin(), m_listed_since.end(),
            [&](const auto& listed)
            {
                return std::any_of(
                    listed.second.begin(), listed.second.end(),
                    [&](const auto& it)
                    { return is_withheld(listed.first, it.first, now); });
            });
    }

private:
    std::map<Key, std::map<Value, time_point>> m_listed_since;
    sets m_recorded;
};

} // namespace cicadahub::continuity
