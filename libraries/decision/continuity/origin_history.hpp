#pragma once

#include "decision/continuity/recent_sets.hpp"
#include "decision/continuity/stream_origin.hpp"

namespace cicadahub::continuity
{

using service_versions = recent_sets<service_id, software_version>;
using route_services = recent_sets<route_id, service_id>;

/// What may have begun the streams of each route that callers can take up: the
/// services to which the route leads, or led a moment ago, and the software
/// versions of their servers.
class origin_history
{
public:
    /// What hosts that start later have to know of the past.
    struct record
    {
        service_versions::sets versions;
        /// Empty if no stream has begun, or a former build wrote the record.
        route_services::sets services;

        friend bool operator==(const record&, const record&) = default;
    };

    explicit origin_history(time_point started);

    void set_retention(milliseconds it);

    /// The versions of all servers that are listed now.
    void on_servers(service_versions::sets listed, time_point now);
    /// The services of all routes whose streams can be taken up.
    void on_routes(route_services::sets routes, time_point now);
    void on_recorded(const record& it, time_point now);

    bool is_past_known(time_point now) const;

    std::set<stream_origin> origins(const route_id& route,
                                    time_point now) const;

    /// The origin of all streams of the route that can be taken up; empty if
    /// there may be several, or if none is known.
    std::optional<stream_origin> sole_origin(const route_id& route,
                                             time_point now) const;

    /// False if every stream of a route that leads to the service can have been
    /// begun by one origin only.
    bool is_ambiguous(const service_id& service, time_point now) const;

    /// What may have begun streams, to be recorded.
    record current(time_point now) const;
    /// Forgets what can't have begun a stream that can be taken up.
    void forget(time_point now);

private:
    /// Former names of such a route are not known.
    bool is_new(const route_id& route, time_point now) const;

    service_versions m_versions;
    route_services m_services;
    route_services::sets m_listed;
    /// When routes were added to those that were known.
    std::map<route_id, time_point> m_added;
};

} // namespace cicadahub::continuity
