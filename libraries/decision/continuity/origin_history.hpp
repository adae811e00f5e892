#pragma once

#include "decision/continuity/recent_sets.hpp"
#include "decision/continuity/stream_origin.hpp"
#include "decision/continuity/withheld_values.hpp"

#include <vector>

namespace cicadahub::continuity
{

using service_versions = recent_sets<service_id, software_version>;
/// A path is that of a route, without the rest that requests add to it.
using path_services = recent_sets<request_path, service_id>;
using route_services = recent_sets<route_id, service_id>;

/// A route whose streams callers can take up.
struct resumable_route
{
    route_id name;
    request_path covers;
    std::set<service_id> services;
};

/// What may have begun the streams that callers can take up on a path: the
/// services to which it leads, or led a moment ago, and the software versions
/// of their servers. Routes are known by the paths that they cover, since their
/// names change while streams run.
class origin_history
{
public:
    /// What hosts that start later have to know of the past.
    struct record
    {
        service_versions::sets versions;
        /// Empty if no stream has begun, or a former build wrote the record.
        path_services::sets services;
        /// Those that have been routed for as long as streams last.
        std::set<request_path> settled;
        /// By the names of the routes, for hosts of a former build.
        route_services::sets services_by_name;
        /// No host begins streams at a service or version that is missing here
        /// while another one is listed for the same.
        bool is_ahead = false;

        friend bool operator==(const record&, const record&) = default;
    };

    explicit origin_history(time_point started);

    void set_retention(milliseconds it);

    /// The versions of all servers that are listed now.
    void on_servers(service_versions::sets listed, time_point now);
    /// All routes whose streams can be taken up.
    void on_routes(const std::vector<resumable_route>& routes, time_point now);
    void on_recorded(const record& it, time_point now);

    /// Hosts that start within this time of each other may have been lost
    /// together.
    static constexpr milliseconds common_start_time{5'000};

    /// Another host has started, which no longer knows the streams that it
    /// began or kept.
    void on_host_started(time_point now) { m_last_host_start = now; }

    /// What the record holds now, as this host wrote it or read it again.
    void on_written(const record& it);
    bool is_record_known() const { return m_is_record_known; }

    /// False while the record does not tell yet that streams of the route may
    /// begin at the service, or at that version of it, and another one may be
    /// used.
    bool may_begin(const request_path& route, const service_id& service,
                   time_point now) const;
    bool may_begin(const stream_origin& it, time_point now) const;
    bool is_any_withheld(time_point now) const;

    bool is_past_known(time_point now) const;

    std::set<stream_origin> origins(const request_path& path,
                                    time_point now) const;

    /// The origin of all streams of the path that can be taken up; empty if
    /// there may be several, or if none is known.
    std::optional<stream_origin> sole_origin(const request_path& path,
                                             time_point now) const;

    /// The only origin at which a stream of the path can have begun before this
    /// host started; for streams that no host and no record knows, since those
    /// that began later are told and recorded. Empty if other origins were
    /// recorded by then, or could be used without, or if hosts that were told
    /// of streams since have started again.
    std::optional<stream_origin> sole_former_origin(const request_path& path,
                                                    time_point now) const;

    /// False if every stream of a path that leads to the service can have been
    /// begun by one origin only.
    bool is_ambiguous(const service_id& service, time_point now) const;

    /// What may have begun streams, to be recorded.
    record current(time_point now) const;
    /// Forgets what can't have begun a stream that can be taken up.
    void forget(time_point now);

private:
    struct listed_route
    {
        route_id name;
        time_point since{};
        /// The record says that it was there before this host started.
        bool is_recorded_as_settled = false;
    };

    struct sole_services
    {
        time_point found_at{};
        std::set<service_id> services;
    };

    /// The routes that cover a path and may have led its streams to a service.
    std::vector<request_path> covering(const request_path& path,
                                       time_point now) const;
    std::set<stream_origin> origins_of(const std::vector<request_path>& routes,
                                       time_point now) const;
    /// No stream that can be taken up began before the route covered its path.
    bool is_settled(const request_path& route, time_point now) const;
    /// Other routes may have covered its paths before this host knew of it.
    bool is_past_unproved(const request_path& route, time_point now) const;
    void compare_with_record(time_point now);
    void adopt_names(const route_services::sets& recorded, time_point now);
    sole_services find_sole_services(time_point now) const;
    /// No other routes may have covered the paths of these.
    bool is_past_proved(const std::vector<request_path>& routes,
                        time_point now) const;
    /// What was recorded when this host started; empty if the record lacks a
    /// route or a service.
    std::optional<std::set<stream_origin>>
    former_origins_of(const std::vector<request_path>& routes) const;

    service_versions m_versions;
    path_services m_services;
    route_services m_services_by_name;
    std::map<request_path, listed_route> m_listed;
    /// When this host learnt its first configuration.
    std::optional<time_point> m_first_listed_at;
    /// What was recorded before the first configuration.
    std::optional<record> m_uncompared;
    std::map<request_path, time_point> m_unproved;
    /// The record as this host found it when it started.
    std::optional<record> m_former;
    time_point m_former_read_at{};
    time_point m_last_host_start{};
    bool m_is_record_known = false;
    withheld_values<service_id, software_version> m_withheld_versions;
    withheld_values<request_path, service_id> m_withheld_services;
    /// Each stream that begins asks for it.
    mutable std::optional<sole_services> m_sole_services;
};

} // namespace cicadahub::continuity
