#pragma once

#include "configuration/entries.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cicadahub::configuration
{

/// Kinds of configuration objects, as named in the API and in `cicadactl`.
enum class object_kind
{
    work_class,
    organisation,
    key,
    model,
    adapter,
    route,
};

inline constexpr object_kind all_kinds[] = {
    object_kind::work_class, object_kind::organisation, object_kind::key,
    object_kind::model,      object_kind::adapter,      object_kind::route};

std::string_view name_of(object_kind kind);
std::optional<object_kind> kind_of(std::string_view name);

/// Name of an object in the platform's API: "KIND.NAME".
std::string object_name(object_kind kind, std::string_view name);

/// A configuration object that passed the checks of its kind.
struct stored_entry
{
    object_kind kind;
    std::string name;
    object_version version;
    bool is_deleted = false;
    boost::json::object spec;
};

/// Makes an entry of an object of the platform's API; throws
/// `malformed_document` if its name or its spec is not valid.
stored_entry make_entry(std::string_view object_name, object_version version,
                        const boost::json::object& spec);

/// Throws `malformed_document` if no object can have the name.
void check_name(std::string_view name);

/// Throws `malformed_document` if the name or the spec is not valid for the
/// kind.
void check_spec(object_kind kind, std::string_view name,
                const boost::json::object& spec);

/// The configuration known to one daemon. Updates may arrive in any order and
/// repeatedly: an update whose version is not newer than the stored one is
/// ignored.
class snapshot
{
public:
    /// Applies an update; returns false if it is not newer than the stored
    /// entry.
    bool apply(const stored_entry& entry);

    const work_class* find(const class_id& id) const;
    const organisation* find(const organisation_id& id) const;
    const model* find_model(const model_id& id) const;
    const adapter* find_adapter(const model_id& id) const;
    const service_route* find(const route_id& id) const;
    const caller_key* find_key(const key_hash& hash) const;

    const std::map<organisation_id, organisation>& organisations() const
    {
        return m_organisations;
    }
    const std::map<model_id, model>& models() const { return m_models; }
    const std::map<model_id, adapter>& adapters() const { return m_adapters; }

    /// Every object by its name in the platform's API. Deleted ones stay as
    /// tombstones, so that a late update does not restore them.
    const std::map<std::string, stored_entry>& entries() const
    {
        return m_entries;
    }

    /// Highest version of all applied entries.
    object_version version() const { return m_version; }

private:
    void erase(const stored_entry& entry);
    void insert(const stored_entry& entry);

    std::map<std::string, stored_entry> m_entries;
    std::map<class_id, work_class> m_classes;
    std::map<organisation_id, organisation> m_organisations;
    std::map<model_id, model> m_models;
    std::map<model_id, adapter> m_adapters;
    std::map<route_id, service_route> m_routes;
    std::map<key_id, key_hash> m_hash_of_key;
    std::unordered_map<key_hash, caller_key> m_keys;
    object_version m_version;
};

} // namespace cicadahub::configuration
