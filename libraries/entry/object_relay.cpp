#include "entry/object_relay.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"
#include "http/client.hpp"

#include <boost/json/serialize.hpp>

#include <array>

namespace cicadahub::entry
{

namespace
{

constexpr std::string_view path_prefix = "/objects/";
constexpr std::array relayed_collections{platform::collection::configurations,
                                         platform::collection::servers};

std::string path_of(platform::collection where)
{
    return std::string(path_prefix) + std::string(platform::name_of(where));
}

} // namespace

void object_relay::on_object(platform::collection where,
                             const platform::stored_object& it)
{
    m_collections[where].batch[it.name] = it;
}

void object_relay::end_of_batch(platform::collection where, bool is_full_list,
                                object_version version)
{
    relayed_collection& known = m_collections[where];
    known.revision = std::max(known.revision, version);
    if (is_full_list)
    {
        std::erase_if(known.objects, [&](const auto& it)
                      { return it.second.version <= version; });
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
            known.objects.erase(name);
        }
        else
        {
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

std::string object_relay::document_of(const relayed_collection& it) const
{
    boost::json::array objects;
    for (const auto& [name, object] : it.objects)
    {
        objects.push_back({{"name", name},
                           {"version", object.version.value()},
                           {"spec", object.spec}});
    }
    return boost::json::serialize(boost::json::object{
        {"revision", it.revision.value()}, {"objects", std::move(objects)}});
}

net::awaitable<void> object_relay::serve(http::request& message,
                                         http::reply_writer& reply)
{
    for (const platform::collection where : relayed_collections)
    {
        if (message.target() == path_of(where) && revision(where).value() > 0)
        {
            co_await reply.send(http::json_response(
                http::status::ok, document_of(m_collections[where])));
            co_return;
        }
    }
    throw refused_error({refusal_kind::unknown_path, true, {}});
}

http::request object_relay::make_request(platform::collection where)
{
    return http::make_request(http::verb::get, path_of(where));
}

platform::listing object_relay::read_answer(const http::response& answer)
{
    if (answer.result() != http::status::ok)
    {
        throw malformed_document("the peer did not return the collection");
    }
    const boost::json::object json = parse_json_object(answer.body());
    const json_reader reader(json);
    platform::listing it;
    it.version =
        object_version(static_cast<std::uint64_t>(reader.integer("revision")));
    for (const boost::json::value& part : reader.array("objects"))
    {
        if (!part.is_object())
        {
            throw malformed_document("the element is not a JSON object");
        }
        const json_reader object(part.get_object());
        platform::stored_object stored;
        stored.name = object.text("name");
        stored.version = object_version(
            static_cast<std::uint64_t>(object.integer("version")));
        stored.spec = object.object("spec");
        it.objects.push_back(std::move(stored));
    }
    return it;
}

} // namespace cicadahub::entry
