#pragma once

#include "decision/continuity/origin_history.hpp"
#include "decision/continuity/stream_origins.hpp"
#include "digest_types.h"
#include "entry/fleet/fleet_view.hpp"
#include "entry/servers/server_table.hpp"
#include "serving/configuration.hpp"
#include "serving/request.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// A stream as callers and the configuration name it.
struct stream_identity
{
    /// The request that brought its first event.
    request_id request;
    /// That of the caller; empty if it has none.
    organisation_id organisation;
    continuity::request_path path;
    route_id route;
    bool is_route_public = false;
};

/// Knows what began the streams that callers may take up. The host that serves
/// a stream tells its origin to a few others, which any host that does not know
/// it asks. While the streams of a route can have been begun by more than one
/// service or software version, the holder of the placement lease records them
/// in the platform's store too.
class stream_continuity
{
public:
    /// Links to the other hosts and to the store.
    struct handlers
    {
        /// Sends lists of streams to a host by datagram; a lost one is not sent
        /// again.
        std::function<void(const fleet::wire::Digest& message,
                           const http::endpoint& to)>
            send;
        /// Reads the streams that are recorded in the store; false if that
        /// failed.
        std::function<net::awaitable<bool>()> read_recorded;
        /// True if this host records streams.
        std::function<bool()> is_recorder;
    };

    stream_continuity(net::io_context& context, const server_table& servers,
                      const fleet_view& fleet);

    void set_handlers(handlers given) { m_handlers = std::move(given); }

    void on_configuration(const serving::configuration& it);
    /// The list of servers, or what one of them runs, has changed.
    void on_servers_changed();
    /// Another host has started.
    void on_host_started()
    {
        m_history.on_host_started(monotonic_clock::now());
    }
    /// Another host records streams now, or this one does.
    void on_recorder_changed();

    /// Services and versions that were recorded before this host started.
    void on_recorded(const continuity::origin_history::record& it);
    /// Services and versions to be recorded for hosts that start later.
    continuity::origin_history::record origins_to_record() const;
    bool is_past_known() const;

    /// The record holds this now, as this host wrote it or read it again.
    void on_written(const continuity::origin_history::record& it);
    /// Streams that nobody knows began at a recorded origin if all hosts do so:
    /// this host knows the record and begins them nowhere else.
    bool waits_for_record() const;
    /// A listed service or version waits to be recorded.
    bool is_any_withheld() const;
    /// False while streams of the route must not begin at the service yet.
    bool may_begin(const continuity::request_path& route,
                   const service_id& service) const;
    bool may_begin(const continuity::stream_origin& it) const;

    /// A stream that was recorded in the store.
    void on_recorded(const continuity::stream_key& key,
                     const continuity::stream_origin& origin);
    /// Streams to be recorded, without those returned before.
    std::vector<continuity::begun_stream> take_unrecorded();

    /// The caller has got the first event of a stream.
    void on_begun(const stream_identity& stream,
                  const continuity::stream_origin& origin, time_point until);

    /// The path has, or had a moment ago, streams that callers can take up.
    bool has_had_streams(const continuity::request_path& path) const;

    /// What began the stream that a request takes up; empty if nobody in
    /// contact knows. Asks other hosts and the store unless this host knows.
    net::awaitable<std::optional<continuity::stream_origin>>
    find_origin(request_id taken_up_by, stream_identity stream);

    /// Another host told of streams, or asks for some.
    void on_message(const fleet::wire::Digest& it, const http::endpoint& from);

private:
    struct question
    {
        explicit question(net::io_context& context) : answered(context) {}

        net::steady_timer answered;
        /// Hosts, each as often as it was asked for another key.
        std::size_t asked = 0;
        std::size_t pending = 0;
        /// Some host answered, and none knows a newer list of servers.
        bool is_list_confirmed = false;
        bool is_list_outdated = false;

        /// The hosts that answered show that this host's list of servers is not
        /// older than theirs.
        bool is_list_current() const
        {
            return is_list_confirmed && !is_list_outdated;
        }
    };
    using question_pointer = std::shared_ptr<question>;

    /// Logs a change of what may have begun streams, and tells the streams that
    /// were told to nobody before.
    void on_origins_changed(const continuity::origin_history::record& before,
                            time_point now);
    void remember(const continuity::begun_stream& it, time_point now);
    /// Those that something else than their origin may have begun.
    std::vector<continuity::begun_stream>
    ambiguous(std::vector<continuity::begun_stream> streams,
              time_point now) const;
    std::vector<daemon_id> keepers(const continuity::stream_key& stream,
                                   std::size_t count) const;
    void add_recorder(std::vector<daemon_id>& to) const;
    /// Tells streams to the hosts that keep them.
    void tell(const std::vector<continuity::begun_stream>& streams,
              time_point now);
    void send(const std::string& to,
              const std::vector<continuity::begun_stream>& streams,
              time_point now);
    /// The keys by which hosts in contact know the stream: its own, and another
    /// one as long as there are hosts of a build that names streams by route.
    std::vector<continuity::stream_key>
    keys_of(const stream_identity& stream) const;
    /// What is known of a stream by one of its keys.
    std::optional<continuity::begun_stream>
    find(const std::vector<continuity::stream_key>& keys) const;
    /// Reads the record once it has all streams that have begun until now.
    net::awaitable<std::optional<continuity::begun_stream>>
    read_record_again(std::vector<continuity::stream_key> keys);
    /// Asks other hosts for a stream by all of its keys.
    net::awaitable<question_pointer>
    ask(const std::vector<continuity::stream_key>& keys);
    void on_answer(const continuity::stream_key& stream, bool is_known,
                   object_version servers_changed);

    /// True if the other hosts begin streams at recorded origins only.
    bool do_others_wait_for_record() const;

    net::io_context& m_context;
    const server_table& m_servers;
    const fleet_view& m_fleet;
    handlers m_handlers;
    time_point m_started;
    continuity::origin_history m_history;
    /// Requests ask often, and it is rarely true.
    bool m_is_any_withheld = false;
    continuity::stream_origins m_origins;
    /// Those of them that this host serves.
    continuity::stream_origins m_begun_here;
    /// Known streams that this host has not recorded yet.
    std::vector<continuity::begun_stream> m_unrecorded;
    milliseconds m_longest_stream{0};
    std::map<continuity::stream_key, question_pointer> m_questions;
};

} // namespace cicadahub::entry
