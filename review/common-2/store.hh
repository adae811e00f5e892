#pragma once

// Stand-in of the platform's metadata store, as PROTOCOL.md describes it:
// objects by kind and name, one revision counter, conditional writes, watches.

#include "net.hh"

#include <boost/json.hpp>

#include <condition_variable>

namespace stage
{

namespace json = boost::json;

class store
{
public:
    explicit store(const address& at)
    {
        serve(at,
              [this](const message& it, channel& to)
              {
                  sleep_ms(m_delay_ms);
                  return to.write(respond(it));
              });
    }

    /// The operator's write; returns when the store has acknowledged it.
    void put(const std::string& kind, const std::string& name,
             const json::object& spec)
    {
        const std::lock_guard lock(m_mutex);
        const auto& objects = m_kinds[kind];
        json::object it{{"metadata", {{"name", name}}}, {"spec", spec}};
        objects.contains(name) ? change(kind, name, it) : insert(kind, it);
    }

    std::optional<json::object> read(const std::string& kind,
                                     const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        const auto& objects = m_kinds[kind];
        const auto it = objects.find(name);
        return it == objects.end() ? std::nullopt : std::optional(it->second);
    }

    /// Each answer takes this long from now on.
    void set_delay(int ms) { m_delay_ms = ms; }

    /// Removes an entry, as the platform does after a server's silence.
    void drop(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }

private:
    struct event
    {
        std::int64_t revision;
        bool is_deletion;
        json::object object;
    };

    static std::string respond_json(int status, const json::value& it)
    {
        return answer_text(status, json::serialize(it), {{"Store-Era", "1"}});
    }

    static std::string query(const std::string& target, const std::string& name)
    {
        const auto mark = target.find('?');
        if (mark == std::string::npos)
        {
            return {};
        }
        std::string rest = "&" + target.substr(mark + 1);
        const auto at = rest.find("&" + name + "=");
        if (at == std::string::npos)
        {
            return {};
        }
        rest = rest.substr(at + name.size() + 2);
        return rest.substr(0, rest.find('&'));
    }

    static std::int64_t revision_of(const json::object& it)
    {
        return it.at("metadata").at("revision").to_number<std::int64_t>();
    }

    void record(const std::string& kind, bool is_deletion,
                const json::object& it)
    {
        m_events[kind].push_back({m_revision, is_deletion, it});
        m_changed.notify_all();
    }

    json::object insert(const std::string& kind, json::object it)
    {
        auto& metadata = it["metadata"].as_object();
        metadata["revision"] = ++m_revision;
        const std::string name(metadata["name"].as_string());
        m_kinds[kind][name] = it;
        record(kind, false, it);
        return it;
    }

    json::object change(const std::string& kind, const std::string& name,
                        json::object it)
    {
        json::object& known = m_kinds[kind][name];
        it["metadata"].as_object()["name"] = name;
        if (known["spec"] == it["spec"])
        {
            return known;
        }
        return insert(kind, std::move(it));
    }

    void erase(const std::string& kind, const std::string& name)
    {
        auto& objects = m_kinds[kind];
        const auto at = objects.find(name);
        if (at == objects.end())
        {
            return;
        }
        json::object it = at->second;
        objects.erase(at);
        it["metadata"].as_object()["revision"] = ++m_revision;
        record(kind, true, it);
    }

    std::string respond(const message& it)
    {
        constexpr std::string_view prefix = "/v1/objects/";
        if (!it.target.starts_with(prefix))
        {
            return respond_json(404, json::object());
        }
        std::string path = it.target.substr(prefix.size());
        path = path.substr(0, path.find('?'));
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name =
            slash == std::string::npos ? std::string() : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (it.method == "GET" && name.empty())
        {
            const std::string since = query(it.target, "watch");
            return since.empty()
                       ? list(kind, query(it.target, "after"))
                       : watch(lock, kind, std::stoll(since),
                               std::stoll("0" + query(it.target, "waitMs")));
        }
        auto& objects = m_kinds[kind];
        const auto known = objects.find(name);
        if (it.method == "GET")
        {
            return known == objects.end() ? respond_json(404, json::object())
                                          : respond_json(200, known->second);
        }
        if (it.method == "DELETE")
        {
            erase(kind, name);
            return respond_json(200, json::object());
        }
        json::object given = json::parse(it.body).as_object();
        auto& metadata = given["metadata"].as_object();
        if (it.method == "POST")
        {
            const std::string created(metadata["name"].as_string());
            const auto there = objects.find(created);
            return there != objects.end()
                       ? respond_json(409, there->second)
                       : respond_json(201, insert(kind, std::move(given)));
        }
        if (known == objects.end())
        {
            return respond_json(404, json::object());
        }
        if (metadata.contains("revision") &&
            metadata["revision"].to_number<std::int64_t>() !=
                revision_of(known->second))
        {
            return respond_json(409, known->second);
        }
        return respond_json(200, change(kind, name, std::move(given)));
    }

    std::string list(const std::string& kind, const std::string& after)
    {
        constexpr std::size_t page = 500;
        json::array items;
        const auto& objects = m_kinds[kind];
        auto it = objects.upper_bound(after);
        for (; it != objects.end() && items.size() < page; ++it)
        {
            items.push_back(it->second);
        }
        return respond_json(200, {{"items", items},
                                  {"hasMore", it != objects.end()},
                                  {"currentRev", m_revision}});
    }

    std::string watch(std::unique_lock<std::mutex>& lock,
                      const std::string& kind, std::int64_t since,
                      std::int64_t wait_ms)
    {
        const auto has_news = [&]
        {
            const auto& all = m_events[kind];
            return !all.empty() && all.back().revision > since;
        };
        m_changed.wait_for(lock, milliseconds(wait_ms), has_news);
        json::array events;
        for (const event& it : m_events[kind])
        {
            if (it.revision > since)
            {
                events.push_back(
                    {{"object", it.object}, {"tombstone", it.is_deletion}});
            }
        }
        return respond_json(200,
                            {{"events", events}, {"currentRev", m_revision}});
    }

    std::atomic<int> m_delay_ms{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 100;
    std::map<std::string, std::map<std::string, json::object>> m_kinds;
    std::map<std::string, std::vector<event>> m_events;
};

} // namespace stage
