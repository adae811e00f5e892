#include "object_store_standin.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <charconv>

namespace cicadahub::standin
{

namespace
{

constexpr std::string_view objects_prefix = "/v1/objects/";
/// Segments of a path before the kind of objects, and before their name.
constexpr std::size_t kind_segment = 2;
constexpr std::size_t name_segment = 3;
constexpr milliseconds outage_poll{20};
/// Internal marker: the connection is closed without a response.
constexpr auto dropped_status = static_cast<http::status>(599);

/// 0 if the parameter is absent or no number.
std::uint64_t number_in(const http::request_target& target,
                        std::string_view name)
{
    std::uint64_t n = 0;
    const auto it = target.parameters.find(name);
    if (it != target.parameters.end())
    {
        const std::string& text = it->second;
        std::from_chars(text.data(), text.data() + text.size(), n);
    }
    return n;
}

http::response json_answer(http::status code, const boost::json::object& json)
{
    return http::json_response(code, boost::json::serialize(json));
}

/// In place of a spec that a test gave as raw text.
std::string marker_of(std::string_view name)
{
    return "\"raw spec of " + std::string(name) + "\"";
}

std::uint64_t revision_of(const boost::json::object& object)
{
    return static_cast<std::uint64_t>(object.at("metadata")
                                          .as_object()
                                          .at("revision")
                                          .to_number<std::int64_t>());
}

} // namespace

object_store_standin::object_store_standin(net::io_context& context)
    : m_context(context)
{
}

net::awaitable<void> object_store_standin::serve(http::request& message,
                                                 http::reply_writer& reply)
{
    const std::string_view path = http::path_of(message.target());
    http::response answer{http::status::not_found, 11};
    if (path == "/faults")
    {
        answer = answer_faults(message);
    }
    else if (path == "/stats")
    {
        answer = answer_stats();
    }
    else if (path.starts_with(objects_prefix))
    {
        ++m_calls;
        while (m_has_outage)
        {
            net::steady_timer timer(m_context, outage_poll);
            co_await timer.async_wait(net::use_awaitable);
        }
        answer = co_await answer_objects(message);
    }
    insert_raw_specs(answer.body());
    answer.prepare_payload();
    answer.set("Store-Era", std::to_string(m_era));
    if (answer.result() == dropped_status)
    {
        reply.abort_stream();
        throw boost::system::system_error(net::error::connection_aborted);
    }
    co_await reply.send(std::move(answer));
}

http::response object_store_standin::answer_faults(const http::request& message)
{
    const boost::json::object json = parse_json_object(message.body());
    const json_reader reader(json);
    m_has_outage = reader.boolean_or("outage", m_has_outage);
    m_lost_answers = reader.integer_or("lose_answers", m_lost_answers);
    m_page_items = static_cast<std::size_t>(reader.integer_or(
        "page_items", static_cast<std::int64_t>(m_page_items)));
    if (json.contains("refused"))
    {
        m_refused_clients.clear();
        for (const auto& it : reader.array("refused"))
        {
            m_refused_clients.insert(std::string(it.as_string()));
        }
    }
    m_refused_cursor = reader.text_or("refused_cursor", m_refused_cursor);
    if (json.contains("raw_servers"))
    {
        for (const auto& it : reader.object("raw_servers"))
        {
            add_raw_server(std::string(it.key()),
                           std::string(it.value().as_string()));
        }
    }
    if (reader.boolean_or("lose_watches", false))
    {
        ++m_lost_watches;
    }
    if (reader.boolean_or("keep_copy", false))
    {
        m_copy = {m_revision, m_kinds};
    }
    if (reader.boolean_or("restore", false))
    {
        restore();
    }
    if (reader.boolean_or("forget", false))
    {
        for (auto& [name, it] : m_kinds)
        {
            it.changes.clear();
            it.compacted_until = m_revision;
            it.changed->cancel();
        }
    }
    return json_answer(http::status::ok, {});
}

void object_store_standin::add_raw_server(const std::string& name,
                                          const std::string& spec)
{
    m_raw_specs[name] = spec;
    kind& to = m_kinds["servers"];
    if (!to.changed)
    {
        to.changed = std::make_shared<net::steady_timer>(m_context);
    }
    const std::string marker = marker_of(name);
    store(to,
          {{"metadata", {{"name", name}}},
           {"spec", marker.substr(1, marker.size() - 2)}},
          http::status::created);
}

void object_store_standin::insert_raw_specs(std::string& body) const
{
    for (const auto& [name, spec] : m_raw_specs)
    {
        boost::algorithm::replace_all(body, marker_of(name), spec);
    }
}

void object_store_standin::restore()
{
    ++m_era;
    m_revision = m_copy.revision;
    for (auto& [name, it] : m_kinds)
    {
        it.objects = m_copy.kinds[name].objects;
        it.changes.clear();
        it.compacted_until = m_revision;
        it.changed->cancel();
    }
}

http::response object_store_standin::answer_stats() const
{
    boost::json::object stats{{"calls", m_calls}, {"writes", m_writes}};
    for (const auto& [name, it] : m_kinds)
    {
        stats["calls-" + name] = it.calls;
    }
    return json_answer(http::status::ok, stats);
}

net::awaitable<http::response>
object_store_standin::answer_objects(const http::request& message)
{
    // Clients are identified by `User-Agent`, since in tests all of them have
    // the same address.
    if (m_refused_clients.contains(std::string(message["User-Agent"])))
    {
        co_return json_answer(http::status::service_unavailable, {});
    }
    http::request_target target;
    try
    {
        target = http::parse_target(message.target());
    }
    catch (const malformed_document& reason)
    {
        co_return json_answer(http::status::bad_request,
                              {{"reason", reason.what()}});
    }
    const auto& segments = target.segments;
    kind& it = m_kinds[segments.at(kind_segment)];
    ++it.calls;
    if (!it.changed)
    {
        it.changed = std::make_shared<net::steady_timer>(m_context);
    }
    const bool has_name = segments.size() > name_segment;
    const std::string name = has_name ? segments[name_segment] : "";
    if (message.method() == http::verb::get && !has_name)
    {
        if (target.parameters.contains("watch"))
        {
            co_return co_await watch(it, target);
        }
        co_return list(it, target);
    }
    if (message.method() == http::verb::get)
    {
        const auto found = it.objects.find(name);
        if (found == it.objects.end())
        {
            co_return json_answer(http::status::not_found, {});
        }
        co_return json_answer(http::status::ok, found->second);
    }
    ++m_writes;
    http::response answer;
    switch (message.method())
    {
    case http::verb::post:
        answer = create(it, message);
        break;
    case http::verb::put:
        answer = replace(it, name, message);
        break;
    default:
        answer = remove(it, name);
        break;
    }
    if (m_lost_answers > 0)
    {
        --m_lost_answers;
        answer.result(dropped_status);
    }
    co_return answer;
}

http::response
object_store_standin::list(const kind& from,
                           const http::request_target& target) const
{
    const auto after = target.parameters.find("after");
    if (after != target.parameters.end() && after->second == m_refused_cursor)
    {
        return json_answer(http::status::bad_request, {});
    }
    boost::json::array items;
    auto it = after == target.parameters.end()
                  ? from.objects.begin()
                  : from.objects.upper_bound(after->second);
    for (; it != from.objects.end() && items.size() < m_page_items; ++it)
    {
        items.push_back(it->second);
    }
    return json_answer(http::status::ok, {{"items", std::move(items)},
                                          {"hasMore", it != from.objects.end()},
                                          {"currentRev", m_revision}});
}

net::awaitable<http::response>
object_store_standin::watch(kind& from, const http::request_target& target)
{
    const std::uint64_t since = number_in(target, "watch");
    const milliseconds wait(
        static_cast<std::int64_t>(number_in(target, "waitMs")));
    const time_point end = monotonic_clock::now() + wait;
    const std::uint64_t losses = m_lost_watches;
    const auto has_changes = [&]
    {
        return since < from.compacted_until || since > m_revision ||
               (!from.changes.empty() && from.changes.back().revision > since);
    };
    while ((!has_changes() && monotonic_clock::now() < end) ||
           losses != m_lost_watches)
    {
        if (losses != m_lost_watches)
        {
            net::steady_timer never(m_context, std::chrono::hours(1));
            co_await never.async_wait(net::use_awaitable);
        }
        from.changed->expires_at(
            std::chrono::steady_clock::now() +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                end - monotonic_clock::now()));
        co_await from.changed->async_wait(net::as_tuple(net::use_awaitable));
    }
    if (since < from.compacted_until || since > m_revision)
    {
        co_return json_answer(http::status::gone, {});
    }
    boost::json::array events;
    for (const change& it : from.changes)
    {
        if (it.revision > since)
        {
            events.push_back(
                {{"tombstone", it.is_deletion}, {"object", it.object}});
        }
    }
    co_return json_answer(http::status::ok, {{"events", std::move(events)},
                                             {"currentRev", m_revision}});
}

http::response object_store_standin::create(kind& to,
                                            const http::request& message)
{
    boost::json::object object = parse_json_object(message.body());
    const std::string name =
        json_reader(json_reader(object).object("metadata")).text("name");
    const auto found = to.objects.find(name);
    if (found != to.objects.end())
    {
        return json_answer(http::status::conflict, found->second);
    }
    return store(to, std::move(object), http::status::created);
}

http::response object_store_standin::replace(kind& to, const std::string& name,
                                             const http::request& message)
{
    boost::json::object object = parse_json_object(message.body());
    const auto found = to.objects.find(name);
    if (found == to.objects.end())
    {
        return json_answer(http::status::not_found, {});
    }
    const auto& metadata = object["metadata"].as_object();
    if (metadata.contains("revision") &&
        revision_of(object) != revision_of(found->second))
    {
        return json_answer(http::status::conflict, found->second);
    }
    return store(to, std::move(object), http::status::ok);
}

http::response object_store_standin::remove(kind& from, const std::string& name)
{
    const auto found = from.objects.find(name);
    if (found == from.objects.end())
    {
        return json_answer(http::status::not_found, {});
    }
    boost::json::object object = std::move(found->second);
    from.objects.erase(found);
    object["metadata"].as_object()["revision"] = ++m_revision;
    record(from, true, object);
    return json_answer(http::status::ok, object);
}

http::response object_store_standin::store(kind& to, boost::json::object object,
                                           http::status code)
{
    const std::string name(object["metadata"].as_object()["name"].as_string());
    object["metadata"].as_object()["revision"] = ++m_revision;
    to.objects[name] = object;
    record(to, false, object);
    return json_answer(code, object);
}

void object_store_standin::record(kind& to, bool is_deletion,
                                  boost::json::object object)
{
    to.changes.push_back({m_revision, is_deletion, std::move(object)});
    to.changed->cancel();
}

} // namespace cicadahub::standin
