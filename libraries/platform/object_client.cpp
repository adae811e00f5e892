#include "platform/object_client.hpp"

#include "core/digest.hpp"
#include "core/json_reader.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace cicadahub::platform
{

namespace
{

constexpr std::string_view api_prefix = "/apis/cicadahub.example/v1/";
constexpr std::string_view marks_annotation = "cicadahub.example/write-marks";
constexpr std::size_t write_marks_kept = 8;
constexpr std::size_t write_mark_bytes = 8;
constexpr milliseconds settle_pause{50};

constexpr std::array<std::string_view, 7> collection_names{
    "configurations", "hosts",   "leases", "placements",
    "members",        "intents", "audits"};

std::string path_to(collection where, std::string_view name = {})
{
    std::string path = std::string(api_prefix) + std::string(name_of(where));
    if (!name.empty())
    {
        path += "/" + std::string(name);
    }
    return path;
}

object_version version_from(const std::string& text)
{
    std::uint64_t n = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size())
    {
        throw malformed_document("resourceVersion is not a number");
    }
    return object_version(n);
}

std::string joined(const std::vector<std::string>& marks)
{
    std::string text;
    for (const std::string& it : marks)
    {
        text += text.empty() ? it : "," + it;
    }
    return text;
}

std::vector<std::string> parted(std::string_view text)
{
    std::vector<std::string> marks;
    while (!text.empty())
    {
        const std::size_t comma = std::min(text.find(','), text.size());
        marks.emplace_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return marks;
}

stored_object object_from(const boost::json::object& json)
{
    const json_reader reader(json);
    const json_reader metadata(reader.object("metadata"));
    stored_object it;
    it.name = metadata.text("name");
    it.version = version_from(metadata.text("resourceVersion"));
    it.spec = reader.object("spec");
    const auto* annotations =
        reader.object("metadata").if_contains("annotations");
    if (annotations != nullptr && annotations->is_object())
    {
        const json_reader notes(annotations->get_object());
        it.write_marks = parted(notes.text_or(marks_annotation, ""));
    }
    return it;
}

boost::json::object object_to_json(collection where, const stored_object& it)
{
    boost::json::object metadata;
    metadata["name"] = it.name;
    if (it.version.value() > 0)
    {
        metadata["resourceVersion"] = std::to_string(it.version.value());
    }
    metadata["annotations"] = {{marks_annotation, joined(it.write_marks)}};
    boost::json::object json;
    json["apiVersion"] = "cicadahub.example/v1";
    json["kind"] = name_of(where);
    json["metadata"] = std::move(metadata);
    json["spec"] = it.spec;
    return json;
}

void read_event(std::string_view line, listing& changes)
{
    const boost::json::object event = parse_json_object(line);
    const json_reader reader(event);
    const std::string type = reader.text("type");
    if (type == "ERROR")
    {
        throw watch_expired();
    }
    if (type == "BOOKMARK")
    {
        const json_reader object(reader.object("object"));
        const json_reader metadata(object.object("metadata"));
        changes.version = std::max(
            changes.version, version_from(metadata.text("resourceVersion")));
        return;
    }
    stored_object it = object_from(reader.object("object"));
    if (type == "DELETED")
    {
        it.spec = {{"deleted", true}};
    }
    changes.version = std::max(changes.version, it.version);
    changes.objects.push_back(std::move(it));
}

void expect_ok(const http::response& answer)
{
    if (answer.result() == http::status::gone)
    {
        throw watch_expired();
    }
    if (answer.result() != http::status::ok)
    {
        throw platform_error("the platform answers with status " +
                             std::to_string(answer.result_int()));
    }
}

} // namespace

std::string_view name_of(collection it)
{
    return collection_names.at(static_cast<std::size_t>(it));
}

object_client::object_client(http::client_pool& pool, http::endpoint address,
                             client_timing timing)
    : m_pool(pool), m_address(address), m_timing(timing)
{
}

net::awaitable<http::response> object_client::call(http::request message,
                                                   milliseconds timeout)
{
    try
    {
        co_return co_await http::fetch(m_pool, m_address, std::move(message),
                                       timeout);
    }
    catch (const boost::system::system_error& it)
    {
        throw platform_error(it.what());
    }
}

net::awaitable<listing> object_client::list(collection where)
{
    const auto answer =
        co_await call(http::make_request(http::verb::get, path_to(where)),
                      m_timing.call_timeout);
    expect_ok(answer);
    const boost::json::object json = parse_json_object(answer.body());
    const json_reader reader(json);
    listing result;
    const json_reader metadata(reader.object("metadata"));
    result.version = version_from(metadata.text("resourceVersion"));
    for (const boost::json::value& it : reader.array("items"))
    {
        result.objects.push_back(object_from(it.as_object()));
    }
    co_return result;
}

net::awaitable<std::optional<stored_object>>
object_client::read(collection where, std::string name)
{
    const auto answer =
        co_await call(http::make_request(http::verb::get, path_to(where, name)),
                      m_timing.call_timeout);
    if (answer.result() == http::status::not_found)
    {
        co_return std::nullopt;
    }
    expect_ok(answer);
    co_return object_from(parse_json_object(answer.body()));
}

net::awaitable<object_client::attempt>
object_client::try_write(const http::request& message, object_version& version)
{
    try
    {
        const auto answer = co_await call(message, m_timing.call_timeout);
        if (answer.result() == http::status::conflict ||
            answer.result() == http::status::not_found)
        {
            co_return attempt::conflict;
        }
        if (answer.result() != http::status::ok &&
            answer.result() != http::status::created)
        {
            co_return attempt::no_answer;
        }
        version = object_from(parse_json_object(answer.body())).version;
        co_return attempt::applied;
    }
    catch (const error&)
    {
        co_return attempt::no_answer;
    }
}

net::awaitable<write_result> object_client::write(collection where,
                                                  stored_object former,
                                                  boost::json::object spec)
{
    stored_object next = std::move(former);
    const bool is_new = next.version.value() == 0;
    next.spec = std::move(spec);
    const std::string mark = random_hex(write_mark_bytes);
    next.write_marks.push_back(mark);
    if (next.write_marks.size() > write_marks_kept)
    {
        next.write_marks.erase(next.write_marks.begin());
    }
    const auto message =
        http::make_request(is_new ? http::verb::post : http::verb::put,
                           is_new ? path_to(where) : path_to(where, next.name),
                           boost::json::serialize(object_to_json(where, next)));
    const time_point limit = monotonic_clock::now() + m_timing.settle_limit;
    bool is_first = true;
    do
    {
        object_version version;
        const attempt outcome = co_await try_write(message, version);
        if (outcome == attempt::applied)
        {
            co_return write_result{write_outcome::applied, version};
        }
        if (outcome == attempt::conflict && is_first)
        {
            co_return write_result{write_outcome::conflict, {}};
        }
        is_first = false;
        if (outcome == attempt::conflict)
        {
            // An earlier attempt may be what this one conflicts with.
            try
            {
                const auto stored = co_await read(where, next.name);
                const bool is_mine =
                    stored && std::find(stored->write_marks.begin(),
                                        stored->write_marks.end(),
                                        mark) != stored->write_marks.end();
                co_return write_result{
                    is_mine ? write_outcome::applied : write_outcome::conflict,
                    is_mine ? stored->version : object_version{}};
            }
            catch (const error&)
            {
                // Ask again below.
            }
        }
        net::steady_timer timer(m_pool.context(), settle_pause);
        co_await timer.async_wait(net::use_awaitable);
    } while (monotonic_clock::now() < limit);
    co_return write_result{write_outcome::unknown, {}};
}

net::awaitable<listing> object_client::watch(collection where,
                                             object_version since)
{
    const auto wait =
        std::chrono::duration_cast<seconds>(m_timing.watch_timeout).count();
    const std::string target = path_to(where) + "?watch=true&resourceVersion=" +
                               std::to_string(since.value()) +
                               "&timeoutSeconds=" + std::to_string(wait);
    const auto answer =
        co_await call(http::make_request(http::verb::get, target),
                      m_timing.watch_timeout + m_timing.call_timeout);
    expect_ok(answer);
    listing changes;
    changes.version = since;
    std::string_view rest = answer.body();
    while (!rest.empty())
    {
        const std::size_t end = std::min(rest.find('\n'), rest.size());
        if (end > 0)
        {
            read_event(rest.substr(0, end), changes);
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    co_return changes;
}

net::awaitable<void> object_client::remove(collection where, std::string name)
{
    const auto answer = co_await call(
        http::make_request(http::verb::delete_, path_to(where, name)),
        m_timing.call_timeout);
    if (answer.result() != http::status::not_found)
    {
        expect_ok(answer);
    }
}

} // namespace cicadahub::platform
