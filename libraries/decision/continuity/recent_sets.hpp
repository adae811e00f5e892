#pragma once

#include "core/units.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cicadahub::continuity
{

/// For each key, the values that it has and those that it had a moment ago, so
/// that streams which began under them can still be taken up: the software
/// versions of a service, or the services of a route.
template<class Key, class Value>
class recent_sets
{
public:
    using sets = std::map<Key, std::set<Value>>;

    explicit recent_sets(time_point started) : m_started(started) {}

    /// Longest time in which a stream can be taken up after the value under
    /// which it began was last listed. Shorter times than known before are
    /// ignored: streams may have begun under a former configuration.
    void set_retention(milliseconds it)
    {
        m_retention = std::max(m_retention, it);
    }

    milliseconds retention() const { return m_retention; }

    /// All values there are now.
    void on_listed(sets listed, time_point now)
    {
        // What was listed until now was last seen now.
        for (const sets* all : {&m_listed, &listed})
        {
            add(*all, now);
        }
        m_listed = std::move(listed);
    }

    bool is_listed(const Key& key, const Value& value) const
    {
        const auto listed = m_listed.find(key);
        return listed != m_listed.end() && listed->second.contains(value);
    }

    /// The values that were known before this host started, as recorded by
    /// itself or another host.
    void on_recorded(const sets& recorded, time_point now)
    {
        m_has_record = true;
        add(recorded, now);
    }

    /// False while a value that went before this host started may be missing.
    bool is_past_known(time_point now) const
    {
        return m_has_record ||
               (m_retention.count() > 0 && m_started + m_retention < now);
    }

    /// The values under which streams may have begun that can be taken up.
    std::set<Value> values(const Key& key, time_point now) const
    {
        std::set<Value> found;
        const auto known = m_last_listed.find(key);
        if (known == m_last_listed.end())
        {
            return found;
        }
        for (const auto& [value, last_listed] : known->second)
        {
            if (is_current(key, value, last_listed, now))
            {
                found.insert(value);
            }
        }
        return found;
    }

    /// The same for all keys that have some.
    sets all(time_point now) const
    {
        sets found;
        for (const auto& [key, last_listed] : m_last_listed)
        {
            std::set<Value> kept = values(key, now);
            if (!kept.empty())
            {
                found.emplace(key, std::move(kept));
            }
        }
        return found;
    }

    /// The keys with such values that `is_wanted`.
    template<class Predicate>
    std::vector<Key> keys(const Predicate& is_wanted, time_point now) const
    {
        std::vector<Key> found;
        for (const auto& [key, last_listed] : m_last_listed)
        {
            if (is_wanted(key) && !values(key, now).empty())
            {
                found.push_back(key);
            }
        }
        return found;
    }

    /// Forgets values whose streams can't be taken up any more.
    void forget(time_point now)
    {
        for (auto& [key, last_listed] : m_last_listed)
        {
            const Key& name = key;
            std::erase_if(
                last_listed, [&](const auto& it)
                { return !is_current(name, it.first, it.second, now); });
        }
        std::erase_if(m_last_listed,
                      [](const auto& it) { return it.second.empty(); });
    }

private:
    void add(const sets& all, time_point now)
    {
        for (const auto& [key, found] : all)
        {
            for (const Value& it : found)
            {
                m_last_listed[key][it] = now;
            }
        }
    }

    bool is_current(const Key& key, const Value& value, time_point last_listed,
                    time_point now) const
    {
        return is_listed(key, value) || now <= last_listed + m_retention;
    }

    time_point m_started;
    milliseconds m_retention{0};
    bool m_has_record = false;
    sets m_listed;
    std::map<Key, std::map<Value, time_point>> m_last_listed;
};

} // namespace cicadahub::continuity
