#include "configuration/snapshot.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace cicadahub::configuration
{

namespace
{

constexpr std::array<std::string_view, 6> kind_names{
    "class", "organisation", "key", "model", "adapter", "route"};

constexpr std::size_t sha256_hex_length = 64;
constexpr std::size_t max_name_length = 200;

template<class Map, class Id>
const typename Map::mapped_type* find_in(const Map& map, const Id& id)
{
    const auto at = map.find(id);
    return at == map.end() ? nullptr : &at->second;
}

void require(bool condition, const char* message)
{
    if (!condition)
    {
        throw malformed_document(message);
    }
}

work_class read_class(const std::string& name, const json_reader& spec)
{
    work_class it;
    it.id = class_id(name);
    it.first_token_within = milliseconds(spec.integer("first_token_within_ms"));
    it.refusals_percent = spec.number("refusals_percent");
    require(it.first_token_within.count() > 0,
            "first_token_within_ms must be above 0");
    require(it.refusals_percent >= 0 && it.refusals_percent <= 100,
            "refusals_percent must be from 0 to 100");
    return it;
}

organisation read_organisation(const std::string& name, const json_reader& spec)
{
    organisation it;
    it.id = organisation_id(name);
    it.tokens_per_second = spec.number("tokens_per_second");
    it.burst = token_count(spec.integer("burst_tokens"));
    require(it.tokens_per_second > 0, "tokens_per_second must be above 0");
    require(it.burst.value() > 0, "burst_tokens must be above 0");
    return it;
}

caller_key read_key(const std::string& name, const json_reader& spec)
{
    caller_key it;
    it.id = key_id(name);
    it.organisation = organisation_id(spec.text("organisation"));
    it.hash = key_hash(spec.text("sha256"));
    require(it.hash.value().size() == sha256_hex_length,
            "sha256 must have 64 hex digits");
    return it;
}

model read_model(const std::string& name, const json_reader& spec)
{
    model it{model_id(name), byte_count(spec.integer("bytes"))};
    require(name.find(':') == std::string::npos,
            "a model's name must not have a colon");
    require(it.bytes.value() > 0, "bytes must be above 0");
    return it;
}

adapter read_adapter(const std::string& name, const json_reader& spec)
{
    const std::size_t colon = name.find(':');
    require(colon != std::string::npos && colon + 1 < name.size(),
            "an adapter's name must be MODEL:ADAPTER");
    adapter it{model_id(name), model_id(name.substr(0, colon)),
               byte_count(spec.integer("bytes"))};
    require(it.bytes.value() > 0, "bytes must be above 0");
    return it;
}

service_route read_route(const std::string& name, const json_reader& spec)
{
    service_route it;
    it.id = route_id(name);
    it.is_open = spec.boolean_or("open", false);
    it.is_idempotent = spec.boolean_or("idempotent", false);
    it.work_class = class_id(spec.text("class"));
    return it;
}

} // namespace

std::string_view name_of(object_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<object_kind> kind_of(std::string_view name)
{
    const auto at = std::find(kind_names.begin(), kind_names.end(), name);
    if (at == kind_names.end())
    {
        return std::nullopt;
    }
    return static_cast<object_kind>(at - kind_names.begin());
}

std::string object_name(object_kind kind, std::string_view name)
{
    return std::string(name_of(kind)) + "." + std::string(name);
}

stored_entry make_entry(std::string_view object_name, object_version version,
                        const boost::json::object& spec)
{
    const std::size_t dot = object_name.find('.');
    const auto kind = kind_of(object_name.substr(0, dot));
    if (!kind || dot == std::string_view::npos)
    {
        throw malformed_document("not the name of a configuration object: " +
                                 std::string(object_name));
    }
    stored_entry entry;
    entry.kind = *kind;
    entry.name = object_name.substr(dot + 1);
    entry.version = version;
    entry.is_deleted = json_reader(spec).boolean_or("deleted", false);
    entry.spec = spec;
    if (!entry.is_deleted)
    {
        check_spec(entry.kind, entry.name, spec);
    }
    return entry;
}

void check_name(std::string_view name)
{
    const auto is_name_character = [](unsigned char c)
    {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
               c == ':';
    };
    if (name.empty() || name.size() > max_name_length ||
        !std::all_of(name.begin(), name.end(), is_name_character))
    {
        throw malformed_document(
            "a name may only have letters, digits and \"-_.:\"");
    }
}

void check_spec(object_kind kind, std::string_view name,
                const boost::json::object& spec)
{
    check_name(name);
    const std::string id(name);
    const json_reader reader(spec);
    switch (kind)
    {
    case object_kind::work_class:
        read_class(id, reader);
        return;
    case object_kind::organisation:
        read_organisation(id, reader);
        return;
    case object_kind::key:
        read_key(id, reader);
        return;
    case object_kind::model:
        read_model(id, reader);
        return;
    case object_kind::adapter:
        read_adapter(id, reader);
        return;
    case object_kind::route:
        read_route(id, reader);
        return;
    }
}

bool snapshot::apply(const stored_entry& entry)
{
    const std::string name = object_name(entry.kind, entry.name);
    const auto at = m_entries.find(name);
    if (at != m_entries.end() && entry.version <= at->second.version)
    {
        return false;
    }
    if (at != m_entries.end() && !at->second.is_deleted)
    {
        erase(at->second);
    }
    if (!entry.is_deleted)
    {
        insert(entry);
    }
    m_entries.insert_or_assign(name, entry);
    m_version = std::max(m_version, entry.version);
    return true;
}

void snapshot::erase(const stored_entry& entry)
{
    const std::string& name = entry.name;
    switch (entry.kind)
    {
    case object_kind::work_class:
        m_classes.erase(class_id(name));
        return;
    case object_kind::organisation:
        m_organisations.erase(organisation_id(name));
        return;
    case object_kind::key:
    {
        const auto at = m_hash_of_key.find(key_id(name));
        const auto key = m_keys.find(at->second);
        // Two keys may have the same hash; erase it only if it belongs to this
        // key.
        if (key != m_keys.end() && key->second.id == at->first)
        {
            m_keys.erase(key);
        }
        m_hash_of_key.erase(at);
        return;
    }
    case object_kind::model:
        m_models.erase(model_id(name));
        return;
    case object_kind::adapter:
        m_adapters.erase(model_id(name));
        return;
    case object_kind::route:
        m_routes.erase(route_id(name));
        return;
    }
}

void snapshot::insert(const stored_entry& entry)
{
    const std::string& name = entry.name;
    const json_reader spec(entry.spec);
    switch (entry.kind)
    {
    case object_kind::work_class:
        m_classes[class_id(name)] = read_class(name, spec);
        return;
    case object_kind::organisation:
        m_organisations[organisation_id(name)] = read_organisation(name, spec);
        return;
    case object_kind::key:
    {
        caller_key it = read_key(name, spec);
        m_hash_of_key[it.id] = it.hash;
        m_keys[it.hash] = std::move(it);
        return;
    }
    case object_kind::model:
        m_models[model_id(name)] = read_model(name, spec);
        return;
    case object_kind::adapter:
        m_adapters[model_id(name)] = read_adapter(name, spec);
        return;
    case object_kind::route:
        m_routes[route_id(name)] = read_route(name, spec);
        return;
    }
}

const work_class* snapshot::find(const class_id& id) const
{
    return find_in(m_classes, id);
}

const organisation* snapshot::find(const organisation_id& id) const
{
    return find_in(m_organisations, id);
}

const model* snapshot::find_model(const model_id& id) const
{
    return find_in(m_models, id);
}

const adapter* snapshot::find_adapter(const model_id& id) const
{
    return find_in(m_adapters, id);
}

const service_route* snapshot::find(const route_id& id) const
{
    return find_in(m_routes, id);
}

const caller_key* snapshot::find_key(const key_hash& hash) const
{
    return find_in(m_keys, hash);
}

} // namespace cicadahub::configuration
