#include "entry/store/object_relay.hpp"

#include "core/errors.hpp"
#include "core/json_parts.hpp"
#include "core/json_reader.hpp"
#include "core/store_version.hpp"
#include "core/structured_log.hpp"
#include "http/client.hpp"

#include <boost/json/serialize.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <array>

namespace cicadahub::entry
{

namespace
{

constexpr std::string_view path_prefix = "/objects/";
constexpr std::array relayed_collections{platform::collection::configurations,
                                         platform::collection::servers,
                                         platform::collection::evacuations};

/// Hosts of earlier landings ignore the field, and return all objects.
constexpr std::string_view known_version_field = "Known-Version";
/// Enough that hosts which ask each second get changes only while half of the
/// servers of the largest deployment are replaced.
constexpr std::size_t max_removed = 4'000;

std::string path_of(platform::collection where)
{
    return std::string(path_prefix) + std::string(platform::name_of(where));
}

/// 0 if the field is absent or malformed.
object_version known_version_in(std::string_view field)
{
    std::uint64_t value = 0;
    const bool is_number = boost::conversion::try_lexical_convert(field, value);
    return object_version(is_number ? value : 0);
}

object_version version_in(const json_members& from, std::string_view member)
{
    std::uint64_t value = 0;
    if (!boost::conversion::try_lexical_convert(text_of_member(from, member),
                                                value))
    {
        throw malformed_document("member \"" + std::string(member) +
                                 "\" must be a whole number");
    }
    return object_version(value);
}

std::vector<std::string_view> elements_in(const json_members& from,
                                          std::string_view member)
{
    return elements_of_json(text_of_member(from, member));
}

/// An object that cannot be read must not hide the others.
void append_object(std::string_view text, bool is_deleted,
                   std::vector<platform::stored_object>& objects)
{
    try
    {
        const boost::json::object json = parse_json_object(text);
        const json_reader reader(json);
        platform::stored_object it;
        it.name = reader.text("name");
        it.version = object_version(
            static_cast<std::uint64_t>(reader.integer("version")));
        it.is_deleted = is_deleted;
        if (!is_deleted)
        {
            it.spec = reader.object("spec");
        }
        objects.push_back(std::move(it));
    }
    catch (const malformed_document& reason)
    {
        log_event(severity::warning, event_number::malformed_object,
                  {{"collection", "relayed"}, {"reason", reason.what()}});
    }
}

} // namespace

void object_relay::on_object(platform::collection where,
                             const platform::stored_object& it)
{
    m_collections[where].batch[it.name] = it;
}

void object_relay::remove(relayed_collection& from, const std::string& name,
                          object_version version)
{
    if (from.objects.erase(name) == 0)
    {
        return;
    }
    from.removed[name] = version;
    if (from.removed.size() > max_removed)
    {
        const auto first = std::min_element(
            from.removed.begin(), from.removed.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        from.removals_since = std::max(from.removals_since, first->second);
        from.removed.erase(first);
    }
}

void object_relay::end_of_batch(platform::collection where, bool is_full_list,
                                object_version version)
{
    relayed_collection& known = m_collections[where];
    if (known.revision.value() == 0)
    {
        known.removals_since = version;
    }
    known.revision = std::max(known.revision, version);
    if (is_full_list)
    {
        std::vector<std::string> missing;
        for (const auto& [name, it] : known.objects)
        {
            if (it.version <= version && !known.batch.contains(name))
            {
                missing.push_back(name);
            }
        }
        for (const std::string& it : missing)
        {
            remove(known, it, version);
        }
    }
    for (auto& [name, it] : known.batch)
    {
        const auto newer = known.objects.find(name);
        if (newer != known.objects.end() && newer->second.version > it.version)
        {
            continue;
        }
        if (it.is_deleted)
        {
            remove(known, name, it.version);
        }
        else
        {
            known.removed.erase(name);
            known.objects[name] = std::move(it);
        }
    }
    known.batch.clear();
}

object_version object_relay::revision(platform::collection where) const
{
    const auto it = m_collections.find(where);
    return it == m_collections.end() ? object_version{} : it->second.revision;
}

std::string object_relay::document_of(const relayed_collection& it,
                                      object_version known)
{
    // Versions of different eras are of different histories.
    const bool is_incremental = known >= it.removals_since &&
                                known.value() > 0 && known <= it.revision &&
                                era_of(known) == era_of(it.revision);
    boost::json::object document{{"revision", it.revision.value()}};
    boost::json::array objects;
    for (const auto& [name, object] : it.objects)
    {
        if (!is_incremental || object.version > known)
        {
            objects.push_back({{"name", name},
                               {"version", object.version.value()},
                               {"spec", object.spec}});
        }
    }
    document["objects"] = std::move(objects);
    if (is_incremental)
    {
        boost::json::array removed;
        for (const auto& [name, version] : it.removed)
        {
            if (version > known)
            {
                removed.push_back(
                    {{"name", name}, {"version", version.value()}});
            }
        }
        document["removed"] = std::move(removed);
        document["since"] = known.value();
    }
    return boost::json::serialize(document);
}

net::awaitable<void> object_relay::serve(http::request& message,
                                         http::reply_writer& reply)
{
    for (const platform::collection where : relayed_collections)
    {
        if (message.target() == path_of(where) && revision(where).value() > 0)
        {
            co_await reply.send(http::json_response(
                http::status::ok,
                document_of(m_collections[where],
                            known_version_in(message[known_version_field]))));
            co_return;
        }
    }
    throw refused_error({refusal_kind::unknown_path, true, {}});
}

http::request object_relay::make_request(platform::collection where,
                                         object_version known)
{
    http::request message = http::make_request(http::verb::get, path_of(where));
    if (known.value() > 0)
    {
        message.set(known_version_field, std::to_string(known.value()));
    }
    return message;
}

relayed_listing object_relay::read_answer(const http::response& answer)
{
    if (answer.result() != http::status::ok)
    {
        throw malformed_document("the peer did not return the collection");
    }
    const auto members = members_of_json(answer.body());
    relayed_listing it;
    it.changes.version = version_in(members, "revision");
    for (const std::string_view text : elements_in(members, "objects"))
    {
        append_object(text, false, it.changes.objects);
    }
    if (!members.contains("since"))
    {
        return it;
    }
    it.since = version_in(members, "since");
    for (const std::string_view text : elements_in(members, "removed"))
    {
        append_object(text, true, it.changes.objects);
    }
    return it;
}

} // namespace cicadahub::entry
