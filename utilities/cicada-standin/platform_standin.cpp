#include "platform_standin.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"
#include "http/request_target.hpp"

#include <charconv>

namespace cicadahub::standin
{

namespace
{

constexpr std::string_view api_prefix = "/apis/cicadahub.example/v1/";
constexpr std::size_t changes_kept = 10'000;
constexpr milliseconds outage_poll{20};
/// Internal marker: the connection is closed without a response.
constexpr auto dropped_status = static_cast<http::status>(599);

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::string version_text(const boost::json::object& object)
{
    const json_reader reader(object);
    return json_reader(reader.object("metadata"))
        .text_or("resourceVersion", "");
}

http::response status_response(http::status code, std::string_view reason)
{
    boost::json::object json;
    json["kind"] = "Status";
    json["reason"] = reason;
    json["code"] = static_cast<unsigned>(code);
    return http::json_response(code, boost::json::serialize(json));
}

} // namespace

platform_standin::platform_standin(net::io_context& context)
    : m_context(context)
{
}

net::awaitable<void> platform_standin::wait(milliseconds time)
{
    net::steady_timer timer(m_context, time);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

net::awaitable<void> platform_standin::serve(http::request& message,
                                             http::reply_writer& reply)
{
    const std::string_view path = http::path_of(message.target());
    http::response it;
    if (path == "/faults")
    {
        it = answer_faults(message);
    }
    else if (path == "/stats")
    {
        it = answer_stats();
    }
    else if (path.starts_with(api_prefix))
    {
        while (m_faults.has_outage)
        {
            co_await wait(outage_poll);
        }
        if (m_faults.delay.count() > 0)
        {
            co_await wait(m_faults.delay);
        }
        it = co_await answer_api(message, path.substr(api_prefix.size()));
    }
    else
    {
        it = status_response(http::status::not_found, "NotFound");
    }
    if (it.result() == dropped_status)
    {
        reply.abort_stream();
        throw boost::system::system_error(net::error::connection_aborted);
    }
    co_await reply.send(std::move(it));
}

http::response platform_standin::answer_faults(const http::request& message)
{
    const boost::json::object json = parse_json_object(message.body());
    const json_reader reader(json);
    m_faults.has_outage = reader.boolean_or("outage", m_faults.has_outage);
    m_faults.delay =
        milliseconds(reader.integer_or("delay_ms", m_faults.delay.count()));
    m_faults.lost_answers =
        reader.integer_or("lose_answers", m_faults.lost_answers);
    m_faults.host_lag = milliseconds(
        reader.integer_or("host_lag_ms", m_faults.host_lag.count()));
    return http::json_response(http::status::ok, "{}");
}

http::response platform_standin::answer_stats() const
{
    boost::json::object json;
    json["reads"] = m_stats.reads;
    json["writes"] = m_stats.writes;
    json["watches"] = m_stats.watches;
    json["conflicts"] = m_stats.conflicts;
    return http::json_response(http::status::ok, boost::json::serialize(json));
}

net::awaitable<http::response>
platform_standin::answer_api(const http::request& message,
                             std::string_view rest)
{
    const std::size_t slash = rest.find('/');
    const std::string collection_name(rest.substr(0, slash));
    std::string name;
    try
    {
        // The path of an object has a segment for each part of it.
        const auto target = http::parse_target(message.target());
        name = slash == std::string_view::npos ? "" : target.segments.back();
    }
    catch (const malformed_document&)
    {
        co_return status_response(http::status::bad_request, "BadRequest");
    }
    collection& it = m_collections[collection_name];
    if (message.method() == http::verb::get && name.empty())
    {
        const bool is_watch =
            http::query_value(message.target(), "watch") == "true";
        if (is_watch)
        {
            ++m_stats.watches;
            co_return co_await watch(it, message);
        }
        ++m_stats.reads;
        co_return list(it);
    }
    if (message.method() == http::verb::get)
    {
        ++m_stats.reads;
        const auto at = it.objects.find(name);
        co_return at == it.objects.end()
            ? status_response(http::status::not_found, "NotFound")
            : http::json_response(http::status::ok,
                                  boost::json::serialize(at->second));
    }
    ++m_stats.writes;
    if (message.method() == http::verb::delete_)
    {
        co_return remove(it, name);
    }
    co_return co_await write(it, collection_name, message, name);
}

http::response platform_standin::list(collection& from) const
{
    boost::json::array items;
    for (const auto& [name, object] : from.objects)
    {
        items.push_back(object);
    }
    boost::json::object metadata;
    metadata["resourceVersion"] = std::to_string(m_version);
    boost::json::object json;
    json["metadata"] = std::move(metadata);
    json["items"] = std::move(items);
    return http::json_response(http::status::ok, boost::json::serialize(json));
}

net::awaitable<http::response>
platform_standin::watch(collection& from, const http::request& message)
{
    const std::uint64_t since =
        parse_number(http::query_value(message.target(), "resourceVersion"));
    const seconds limit(
        parse_number(http::query_value(message.target(), "timeoutSeconds")));
    if (since < from.oldest_kept)
    {
        co_return status_response(http::status::gone, "Expired");
    }
    if (from.changes.empty() || from.changes.back().version <= since)
    {
        if (!from.changed)
        {
            from.changed = std::make_shared<net::steady_timer>(
                m_context, net::steady_timer::time_point::max());
        }
        // All watches of a collection share one timer, which is cancelled by
        // the next change; a second timer ends each watch at its own timeout.
        const auto changed = from.changed;
        const auto own = std::make_shared<net::steady_timer>(m_context, limit);
        changed->async_wait([own, changed](boost::system::error_code)
                            { own->cancel(); });
        co_await own->async_wait(net::as_tuple(net::use_awaitable));
    }
    while (m_faults.has_outage)
    {
        co_await wait(outage_poll);
    }
    std::string body;
    for (const change& it : from.changes)
    {
        if (it.version > since)
        {
            boost::json::object event;
            event["type"] = it.type;
            event["object"] = it.object;
            body += boost::json::serialize(event) + "\n";
        }
    }
    co_return http::json_response(http::status::ok, std::move(body));
}

net::awaitable<http::response>
platform_standin::write(collection& to, const std::string& collection_name,
                        const http::request& message, std::string name)
{
    boost::json::object object = parse_json_object(message.body());
    const bool is_new = message.method() == http::verb::post;
    if (is_new)
    {
        const json_reader reader(object);
        name = json_reader(reader.object("metadata")).text("name");
    }
    const auto at = to.objects.find(name);
    const bool exists = at != to.objects.end();
    const bool is_conflict =
        is_new ? exists
               : exists && version_text(object) != version_text(at->second);
    if (is_conflict)
    {
        ++m_stats.conflicts;
        co_return status_response(http::status::conflict, "Conflict");
    }
    if (!is_new && !exists)
    {
        co_return status_response(http::status::not_found, "NotFound");
    }
    object["metadata"].as_object()["resourceVersion"] =
        std::to_string(++m_version);
    if (collection_name == "hosts" && m_faults.host_lag.count() > 0)
    {
        co_await wait(m_faults.host_lag);
        object["metadata"].as_object()["resourceVersion"] =
            std::to_string(++m_version);
    }
    to.objects.insert_or_assign(name, object);
    const std::string body = boost::json::serialize(object);
    record(to, exists ? "MODIFIED" : "ADDED", std::move(object));
    if (m_faults.lost_answers > 0)
    {
        --m_faults.lost_answers;
        co_return http::response(dropped_status, 11);
    }
    co_return http::json_response(
        is_new ? http::status::created : http::status::ok, body);
}

http::response platform_standin::remove(collection& from,
                                        const std::string& name)
{
    const auto at = from.objects.find(name);
    if (at == from.objects.end())
    {
        return status_response(http::status::not_found, "NotFound");
    }
    boost::json::object object = std::move(at->second);
    from.objects.erase(at);
    object["metadata"].as_object()["resourceVersion"] =
        std::to_string(++m_version);
    record(from, "DELETED", std::move(object));
    return http::json_response(http::status::ok, "{}");
}

void platform_standin::record(collection& to, std::string type,
                              boost::json::object object)
{
    to.changes.push_back({m_version, std::move(type), std::move(object)});
    if (to.changes.size() > changes_kept)
    {
        to.oldest_kept = to.changes.front().version;
        to.changes.pop_front();
    }
    if (to.changed)
    {
        to.changed->cancel();
        to.changed.reset();
    }
}

} // namespace cicadahub::standin
