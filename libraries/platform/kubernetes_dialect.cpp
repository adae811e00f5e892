#include "platform/kubernetes_dialect.hpp"

#include "core/event_log.hpp"
#include "core/json_parts.hpp"
#include "core/json_reader.hpp"
#include "http/client.hpp"
#include "http/request_target.hpp"
#include "platform/object_reading.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace cicadahub::platform
{

namespace
{

constexpr std::string_view api_prefix = "/apis/cicadahub.example/v1/";
constexpr std::string_view marks_annotation = "cicadahub.example/write-marks";

std::string path_to(collection where, std::string_view name = {})
{
    std::string path = std::string(api_prefix) + std::string(name_of(where));
    if (!name.empty())
    {
        path += "/" + http::percent_encode(name);
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

std::string join_marks(const std::vector<std::string>& marks)
{
    std::string text;
    for (const std::string& it : marks)
    {
        text += text.empty() ? it : "," + it;
    }
    return text;
}

std::vector<std::string> split_marks(std::string_view text)
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
    if (const auto* spec = json.if_contains("spec");
        spec != nullptr && spec->is_object())
    {
        it.spec = spec->get_object();
    }
    const auto* annotations =
        reader.object("metadata").if_contains("annotations");
    if (annotations != nullptr && annotations->is_object())
    {
        const json_reader notes(annotations->get_object());
        it.write_marks = split_marks(notes.text_or(marks_annotation, ""));
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
    metadata["annotations"] = {{marks_annotation, join_marks(it.write_marks)}};
    boost::json::object json;
    json["apiVersion"] = "cicadahub.example/v1";
    json["kind"] = name_of(where);
    json["metadata"] = std::move(metadata);
    json["spec"] = it.spec;
    return json;
}

reading_log log_for(collection where)
{
    return [where](const std::exception& reason)
    {
        CICADAHUB_EVENT(WARNING, malformed_object)
            << "collection=" << name_of(where) << " reason=" << reason.what();
    };
}

void read_event(collection where, std::string_view line, listing& changes)
{
    const json_members members = members_of_json(line);
    const std::string_view type = text_of_member(members, "type");
    if (type == R"("ERROR")")
    {
        throw watch_expired();
    }
    const std::string_view object = text_of_member(members, "object");
    if (type == R"("BOOKMARK")")
    {
        const boost::json::object json = parse_json_object(object);
        const json_reader metadata(json_reader(json).object("metadata"));
        changes.version = std::max(
            changes.version, version_from(metadata.text("resourceVersion")));
        return;
    }
    std::vector<stored_object> read;
    append_object(object, type == R"("DELETED")", object_from, log_for(where),
                  read);
    for (stored_object& it : read)
    {
        if (it.is_deleted)
        {
            it.spec = {{"deleted", true}};
        }
        changes.version = std::max(changes.version, it.version);
        changes.objects.push_back(std::move(it));
    }
}

http::request list_request(collection where, const std::string&)
{
    return http::make_request(http::verb::get, path_to(where));
}

list_page read_list(collection where, const std::string& body)
{
    const json_members members = members_of_json(body);
    const boost::json::object metadata =
        parse_json_object(text_of_member(members, "metadata"));
    list_page result;
    result.content.version =
        version_from(json_reader(metadata).text("resourceVersion"));
    const reading_log log = log_for(where);
    for (const std::string_view it :
         elements_of_json(text_of_member(members, "items")))
    {
        append_object(it, false, object_from, log, result.content.objects);
    }
    return result;
}

http::request read_request(collection where, const std::string& name)
{
    return http::make_request(http::verb::get, path_to(where, name));
}

stored_object read_object(const std::string& body)
{
    return object_from(parse_json_object(body));
}

http::request write_request(collection where, const stored_object& it)
{
    const bool is_new = it.version.value() == 0;
    return http::make_request(
        is_new ? http::verb::post : http::verb::put,
        is_new ? path_to(where) : path_to(where, it.name),
        boost::json::serialize(object_to_json(where, it)));
}

http::request watch_request(collection where, object_version since,
                            milliseconds wait)
{
    const auto limit = std::chrono::duration_cast<seconds>(wait).count();
    return http::make_request(http::verb::get,
                              path_to(where) + "?watch=true&resourceVersion=" +
                                  std::to_string(since.value()) +
                                  "&timeoutSeconds=" + std::to_string(limit));
}

listing read_watch(collection where, object_version since,
                   const std::string& body)
{
    listing changes;
    changes.version = since;
    std::string_view rest = body;
    while (!rest.empty())
    {
        const std::size_t end = std::min(rest.find('\n'), rest.size());
        if (end > 0)
        {
            read_event(where, rest.substr(0, end), changes);
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return changes;
}

http::request remove_request(collection where, const std::string& name)
{
    return http::make_request(http::verb::delete_, path_to(where, name));
}

std::optional<store_era> no_era(const http::response&)
{
    return std::nullopt;
}

} // namespace

const object_dialect kubernetes_dialect{
    list_request,  read_list,  read_request,   read_object, write_request,
    watch_request, read_watch, remove_request, no_era};

} // namespace cicadahub::platform
