#pragma once

#include "core/errors.hpp"
#include "core/ids.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace cicadahub::platform
{

/// Collections of objects that the system stores in the platform.
enum class collection
{
    configurations,
    hosts,
    leases,
    placements,
    members,
    intents,
    audits,
    /// Backend servers; each registers itself.
    servers,
    /// Software versions of the servers of each service.
    versions,
    /// What began the streams that callers may take up.
    streams,
    /// Limits that servers name.
    limits,
    /// Data centres to which operators want nothing to be sent.
    evacuations,
};

std::string_view name_of(collection it);

/// One object of the platform's object API.
struct stored_object
{
    std::string name;
    object_version version;
    boost::json::object spec;
    bool is_deleted = false;
    /// Random marks of the most recent writes, newest last. A writer whose
    /// response was lost finds its mark here if the write was applied.
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
    /// The response was lost and the outcome could not be determined in time.
    unknown,
};

struct write_result
{
    write_outcome outcome;
    /// Version after the write, if it was applied.
    object_version version;
};

/// The platform cannot be reached or gives an unexpected answer.
class platform_error : public error
{
public:
    using error::error;
};

/// A call ran into its time limit while this process was late itself.
class call_delayed : public platform_error
{
public:
    using platform_error::platform_error;
};

/// A list has later pages that cannot be had. What was read holds; an object
/// that is missing may exist.
class incomplete_list : public platform_error
{
public:
    incomplete_list(listing read, const std::string& reason)
        : platform_error(reason), m_read(std::move(read))
    {
    }

    /// Objects of the pages before, as of the version of the first one.
    const listing& read() const { return m_read; }

private:
    listing m_read;
};

/// The platform no longer stores the changes since the requested version, so
/// that the collection must be listed again before the next watch.
class watch_expired : public platform_error
{
public:
    watch_expired() : platform_error("the watch expired; a new list is needed")
    {
    }
};

} // namespace cicadahub::platform
