#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <map>
#include <optional>
#include <set>

namespace cicadahub::continuity
{

/// Software versions of each service that may have begun a stream which its
/// caller can still take up: those of the servers that are listed, and those
/// that were within the longest time in which a stream can be taken up.
class service_versions
{
public:
    using version_sets = std::map<service_id, std::set<software_version>>;

    explicit service_versions(time_point started) : m_started(started) {}

    /// Longest time in which a stream can be taken up after the last server of
    /// its version was listed. Shorter times than known before are ignored:
    /// streams may have begun under a former configuration.
    void set_retention(milliseconds it);

    /// The versions of all servers that are listed now.
    void on_listed(version_sets listed, time_point now);

    /// The versions that were known before this host started, as recorded by
    /// itself or another host.
    void on_recorded(const version_sets& recorded, time_point now);

    /// False while a version that left before this host started may be missing.
    bool is_past_known(time_point now) const;

    /// The version that began every stream of the service that can be taken up;
    /// empty if there may be several, or if none is known.
    std::optional<software_version> sole_version(const service_id& service,
                                                 time_point now) const;

    /// Also forgets versions whose streams can't be taken up any more.
    version_sets current(time_point now);

private:
    bool is_current(const service_id& service, const software_version& version,
                    time_point last_listed, time_point now) const;

    time_point m_started;
    milliseconds m_retention{0};
    bool m_has_record = false;
    version_sets m_listed;
    std::map<service_id, std::map<software_version, time_point>> m_last_listed;
};

} // namespace cicadahub::continuity
