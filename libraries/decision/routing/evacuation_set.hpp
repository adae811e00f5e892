#pragma once

#include "core/ids.hpp"

#include <map>
#include <set>
#include <string>

namespace cicadahub::routing
{

/// Data centres to which operators want nothing to be sent, as the store's
/// objects name them. Objects come from the store and from peers, in any order
/// and more than once; versions tell which is newer.
class evacuation_set
{
public:
    /// The object of a data centre is there, or was removed.
    void apply(const std::string& name, object_version version,
               bool is_deleted);
    /// The objects applied since the last call are complete up to `version`; if
    /// `is_full_list`, there are no others.
    void end_of_batch(bool is_full_list, object_version version);

    /// False before the first complete list.
    bool is_known() const { return m_is_known; }
    /// Version of the last change; 0 if there was none.
    object_version changed_version() const { return m_changed_version; }
    std::set<data_centre_id> data_centres() const;

private:
    void remove(const std::string& name, object_version version);

    std::map<std::string, object_version> m_present;
    /// Versions of removals, so that an object that arrives late does not
    /// return. Operators remove few.
    std::map<std::string, object_version> m_removed;
    std::set<std::string> m_seen_in_list;
    object_version m_changed_version;
    bool m_is_known = false;
};

} // namespace cicadahub::routing
