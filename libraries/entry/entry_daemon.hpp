#pragma once

#include "daemon/deferred_executor.hpp"
#include "entry/client_bounds.hpp"
#include "entry/fleet/digest_exchange.hpp"
#include "entry/loop_monitor.hpp"
#include "entry/placement/placement_controller.hpp"
#include "entry/requests/request_handler.hpp"
#include "entry/requests/request_relay.hpp"
#include "entry/requests/stream_record.hpp"
#include "entry/servers/notice_record.hpp"
#include "entry/servers/start_verifier.hpp"
#include "entry/servers/version_record.hpp"
#include "entry/store/object_relay.hpp"
#include "entry/store/store_mirror.hpp"
#include "http/server.hpp"

#include <boost/asio/signal_set.hpp>

namespace cicadahub::entry
{

/// Encodings of the platform that the daemon runs on.
struct platform_dialects
{
    const platform::object_dialect& store;
    const document_dialect& documents;
    const caller_dialect& callers;
    const server_dialect& servers;
};

/// Answers the balancer's readiness probes and serves the metrics.
class readiness_handler
{
public:
    readiness_handler(std::function<bool()> is_ready, entry_metrics& metrics)
        : m_is_ready(std::move(is_ready)), m_metrics(metrics)
    {
    }

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    std::function<bool()> m_is_ready;
    entry_metrics& m_metrics;
};

/// An entry daemon. It keeps no state on disk: the platform stores everything
/// durable. Runs on one thread, as the hosts have less than one core.
class entry_daemon
{
public:
    using reload_handler = std::function<std::optional<entry_settings>()>;

    /// Binds every address; throws `boost::system::system_error`.
    entry_daemon(entry_settings settings, platform_dialects dialects,
                 reload_handler reload);

    /// Serves until SIGTERM or SIGINT, then drains.
    void run();

private:
    net::awaitable<void> drain();
    net::awaitable<void> register_member();
    void add_member(const platform::stored_object& it);
    net::awaitable<void> follow_members();
    void wait_for_signal();
    void on_configuration(const platform::stored_object& it,
                          const configuration_origin& origin);
    void on_servers_changed();
    /// This host ran nothing for a while, and may have missed any change.
    void on_stall(milliseconds stalled);
    /// This host was cut off from the servers, or is no longer.
    void on_reach_changed();
    /// The platform's store was restored from an older copy.
    void on_store_restored();
    void on_digest(const peer& it);
    /// Clears what requests that last show to be sound.
    net::awaitable<void> watch_dispatched();
    /// Tells a host that asks whether bytes from servers reach this one.
    net::awaitable<void> tell_contact(http::endpoint asked_by);
    void apply_published_holdings(const peer& holder);
    void log_first_readiness();
    bool is_ready() const;
    http::server_limits limits_of(const serving::caller_limits& it) const;

    net::io_context m_context{1};
    /// Callers' requests. A host that is late with them must not be late with
    /// the news that decides how it serves them.
    daemon::deferred_work m_deferred{m_context};
    entry_settings m_settings;
    platform_dialects m_dialects;
    reload_handler m_reload;
    entry_state m_state;
    client_bounds m_bounds;
    http::client_pool m_platform_pool;
    http::client_pool m_order_pool;
    http::client_pool m_peer_pool;
    platform::store m_store;
    placement_controller m_placement;
    digest_exchange m_digests;
    object_relay m_objects;
    request_relay m_relay;
    request_handler m_requests;
    readiness_handler m_readiness;
    http::server<request_handler> m_caller_server;
    http::server<readiness_handler> m_readiness_server;
    http::server<request_relay> m_relay_server;
    store_mirror m_mirror;
    version_record m_versions;
    stream_record m_stream_record;
    notice_record m_notices;
    start_verifier m_new_starts;
    loop_monitor m_loop_monitor;
    net::signal_set m_signals;
    /// Name of the peer that last reported holding the placement lease; empty
    /// once it reports that it no longer does.
    std::string m_holder;
    time_point m_started;
    bool m_was_ready = false;
};

} // namespace cicadahub::entry
