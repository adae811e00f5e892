#include "entry/servers/version_record.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"
#include "core/structured_log.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadahub::entry
{

namespace
{

using daemon::pause;
using origins = continuity::origin_history::record;

constexpr const char* record_name = "streams";
/// The software versions of each service.
constexpr const char* versions_member = "services";
/// The services of each path that a route covers; former builds write none.
constexpr const char* paths_member = "paths";
/// The services of each route by its name, which former builds read.
/// FIXME: Leave it out once no host of such a build serves any more.
constexpr const char* routes_member = "routes";
/// Hosts begin streams at recorded origins only; former builds write none.
constexpr const char* ahead_member = "is_ahead";
constexpr milliseconds retry_pause{300};
/// The first holder writes the record a second or two after the start.
constexpr milliseconds absent_pause{3'000};
/// The holder looks this often whether the versions have changed.
constexpr milliseconds check_period{100};
/// The holder has mostly written by then what another host has just learnt.
constexpr milliseconds first_follow_pause{150};
constexpr milliseconds longest_follow_pause{1'200};

template<class Key, class Value>
boost::json::object to_json(const std::map<Key, std::set<Value>>& sets)
{
    boost::json::object all;
    for (const auto& [key, values] : sets)
    {
        boost::json::array list;
        for (const Value& it : values)
        {
            list.emplace_back(it.value());
        }
        all[key.value()] = std::move(list);
    }
    return all;
}

boost::json::array paths_to_json(const origins& it)
{
    boost::json::array all;
    for (const auto& [path, services] : it.services)
    {
        boost::json::array list;
        for (const service_id& service : services)
        {
            list.emplace_back(service.value());
        }
        all.push_back({{"host", path.host},
                       {"path", path.path},
                       {"is_settled", it.settled.contains(path)},
                       {"services", std::move(list)}});
    }
    return all;
}

boost::json::object to_json(const origins& it)
{
    return {{versions_member, to_json(it.versions)},
            {paths_member, paths_to_json(it)},
            {routes_member, to_json(it.services_by_name)},
            {ahead_member, it.is_ahead}};
}

template<class Key, class Value>
std::map<Key, std::set<Value>> sets_from(const boost::json::object& spec)
{
    std::map<Key, std::set<Value>> sets;
    for (const auto& member : spec)
    {
        const auto* list = member.value().if_array();
        if (list == nullptr)
        {
            throw malformed_document("what may begin streams must be a list");
        }
        for (const boost::json::value& it : *list)
        {
            const auto* name = it.if_string();
            if (name == nullptr)
            {
                throw malformed_document(
                    "a service or version must be a string");
            }
            sets[Key(std::string(member.key()))].insert(
                Value(std::string(*name)));
        }
    }
    return sets;
}

void read_paths(const boost::json::array& all, origins& to)
{
    for (const boost::json::value& part : all)
    {
        const auto* object = part.if_object();
        if (object == nullptr)
        {
            throw malformed_document("a recorded path must be an object");
        }
        const json_reader reader(*object);
        const continuity::request_path path{reader.text("host"),
                                            reader.text("path")};
        for (const boost::json::value& it : reader.array("services"))
        {
            const auto* name = it.if_string();
            if (name == nullptr)
            {
                throw malformed_document("a service must be a string");
            }
            to.services[path].insert(service_id(std::string(*name)));
        }
        if (reader.boolean_or("is_settled", false))
        {
            to.settled.insert(path);
        }
    }
}

origins origins_from(const boost::json::object& spec)
{
    const json_reader reader(spec);
    origins it;
    it.versions =
        sets_from<service_id, software_version>(reader.object(versions_member));
    if (spec.contains(routes_member))
    {
        it.services_by_name =
            sets_from<route_id, service_id>(reader.object(routes_member));
    }
    if (spec.contains(paths_member))
    {
        read_paths(reader.array(paths_member), it);
    }
    it.is_ahead = reader.boolean_or(ahead_member, false);
    return it;
}

} // namespace

version_record::version_record(net::io_context& context, platform::store& store,
                               stream_continuity& streams, handlers given)
    : m_context(context), m_store(store), m_streams(streams),
      m_handlers(std::move(given))
{
}

void version_record::start()
{
    net::co_spawn(m_context, read_past(), net::detached);
    net::co_spawn(m_context, write_changes(), net::detached);
    net::co_spawn(m_context, follow(), net::detached);
}

net::awaitable<bool> version_record::read()
{
    m_written.reset();
    m_stored =
        co_await m_store.read(platform::collection::versions, record_name);
    if (m_stored)
    {
        m_streams.on_recorded(origins_from(m_stored->spec));
    }
    co_return m_stored.has_value();
}

net::awaitable<void> version_record::read_past()
{
    while (!m_handlers.is_stopping() && !m_streams.is_past_known())
    {
        milliseconds next = absent_pause;
        try
        {
            co_await read();
        }
        catch (const error& reason)
        {
            next = retry_pause;
            log_event(severity::warning, event_number::platform_unreachable,
                      {{"collection", "versions"}, {"reason", reason.what()}});
        }
        if (!m_streams.is_past_known())
        {
            co_await pause(m_context, next);
        }
    }
}

net::awaitable<void> version_record::follow()
{
    milliseconds wait = first_follow_pause;
    while (!m_handlers.is_stopping())
    {
        co_await pause(m_context, check_period);
        if (m_handlers.is_holder() || !m_streams.is_any_withheld())
        {
            wait = first_follow_pause;
            continue;
        }
        co_await pause(m_context, wait);
        wait = std::min(2 * wait, longest_follow_pause);
        try
        {
            const auto stored = co_await m_store.read(
                platform::collection::versions, record_name);
            if (stored)
            {
                m_streams.on_written(origins_from(stored->spec));
            }
        }
        catch (const error& reason)
        {
            log_event(severity::warning, event_number::platform_unreachable,
                      {{"collection", "versions"}, {"reason", reason.what()}});
        }
    }
}

net::awaitable<void> version_record::write_changes()
{
    while (!m_handlers.is_stopping())
    {
        co_await pause(m_context, check_period);
        if (!m_handlers.is_holder())
        {
            // Another holder may write in the meantime.
            m_stored.reset();
            continue;
        }
        milliseconds wait{0};
        try
        {
            if (!m_stored)
            {
                const bool has_record = co_await read();
                if (!has_record && m_handlers.is_first_holder())
                {
                    m_streams.on_recorded({});
                }
            }
            const origins known = m_streams.origins_to_record();
            if (m_stored && m_written != known &&
                m_stored->spec == to_json(known))
            {
                m_written = known;
            }
            const bool is_written = m_stored && m_written == known;
            if (!is_written && m_streams.is_past_known())
            {
                co_await write(known);
            }
            else if (!m_stored)
            {
                wait = retry_pause;
            }
        }
        catch (const error& reason)
        {
            wait = retry_pause;
            m_stored.reset();
            log_event(severity::warning, event_number::platform_unreachable,
                      {{"collection", "versions"}, {"reason", reason.what()}});
        }
        co_await pause(m_context, wait);
    }
}

net::awaitable<void> version_record::write(const origins& known)
{
    platform::stored_object former;
    if (m_stored)
    {
        former = *m_stored;
    }
    former.name = record_name;
    const boost::json::object spec = to_json(known);
    const auto written =
        co_await m_store.write(platform::collection::versions, former, spec);
    if (written.outcome != platform::write_outcome::applied)
    {
        m_stored.reset();
        co_return;
    }
    former.spec = spec;
    former.version = written.version;
    m_stored = std::move(former);
    m_written = known;
    m_streams.on_written(known);
}

} // namespace cicadahub::entry
