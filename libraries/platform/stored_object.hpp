#pragma once

#include "core/errors.hpp"
#include "core/ids.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace cicadahub::platform
{

/// Collections of objects that the system keeps in the platform.
enum class collection
{
    configurations,
    hosts,
    leases,
    placements,
    members,
    intents,
    audits,
    /// The backend servers, as they register themselves.
    servers,
};

std::string_view name_of(collection it);

/// One object of the platform's API.
struct stored_object
{
    std::string name;
    object_version version;
    boost::json::object spec;
    bool is_deleted = false;
    /// Marks of the last writes, newest last, by which a writer whose answer
    /// was lost finds out whether its write took effect.
    std::vector<std::string> write_marks;
};

/// All objects of a collection as of one version.
struct listing
{
    object_version version;
    std::vector<stored_object> objects;
};

enum class write_outcome
{
    applied,
    conflict,
    /// The answer was lost and could not be found out in time.
    unknown,
};

struct write_result
{
    write_outcome outcome;
    /// Version after the write, if it was applied.
    object_version version;
};

/// The platform cannot be reached, or answers what it should not.
class platform_error : public error
{
public:
    using error::error;
};

/// The platform no longer knows the changes since the version asked for.
class watch_expired : public platform_error
{
public:
    watch_expired() : platform_error("the watch must start anew from a list") {}
};

} // namespace cicadahub::platform
