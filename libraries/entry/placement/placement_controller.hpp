#pragma once

#include "daemon/shard_elector.hpp"
#include "decision/replicas/replica_planner.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/fleet/fleet_view.hpp"
#include "entry/placement/demand_table.hpp"
#include "entry/requests/wait_queue.hpp"
#include "entry/servers/reach_monitor.hpp"
#include "entry/servers/server_table.hpp"
#include "entry/settings.hpp"
#include "entry/work_meter.hpp"
#include "http/client.hpp"

#include <functional>
#include <random>

namespace cicadahub::entry
{

/// State of the daemon that the placement controller uses.
struct placement_inputs
{
    const entry_settings& settings;
    const server_dialect& dialect;
    server_table& servers;
    fleet_view& fleet;
    demand_table& demand;
    wait_queue& waiting;
    entry_metrics& metrics;
    std::function<std::shared_ptr<const serving::configuration>()>
        configuration;
    std::mt19937_64& random;
    reach_monitor& reach;
    /// Called when an answer said that its server leaves.
    std::function<void()> on_server_leaving;
    /// Called with what the head of each answer says of its server.
    std::function<void(server_record&, const server_notice&)> on_notice;
    work_meter& work;
};

/// Orders loads and unloads on the servers of the whole fleet while this daemon
/// holds the placement lease.
class placement_controller
{
public:
    placement_controller(net::io_context& context, http::client_pool& pool,
                         platform::store& store, placement_inputs inputs,
                         std::function<void()> on_holdings_changed);

    void start();
    net::awaitable<void> release();
    /// Releases the lease, since this host reaches no server.
    net::awaitable<void> resign();
    /// The platform's store was restored from an older copy.
    void on_store_restored() { m_shard.on_store_restored(); }

    /// Requests a planning pass, after a change that may require orders.
    void schedule_planning()
    {
        m_is_planning_scheduled = true;
        m_timer.cancel();
    }

    void on_holder_digest(const peer& holder);
    /// The latest digest of the former holder no longer claims the lease.
    void on_holder_released() { m_shard.on_holder_claim_ended(); }
    bool is_held() const { return m_shard.is_held(); }
    epoch_number epoch() const { return m_shard.epoch(); }
    /// If this daemon is the holder, adds to the digest its lease, the holdings
    /// of servers that have changed since the last digest and, in a full
    /// digest, the holdings of some of the others, round-robin.
    void fill(fleet::wire::Digest& digest, time_point now);

private:
    using server_map = std::map<server_id, replicas::server_state>;

    net::awaitable<void> run();
    bool can_acquire_lease() const;
    void on_lease_acquired();
    void sync_servers(time_point now);
    void plan(time_point now);
    replicas::planner_view view_of(const serving::engine_spec& engine,
                                   server_map& servers, time_point now);
    void record_completion(const replicas::pending_order& it, time_point now);
    void request_due_reports(time_point now);
    net::awaitable<void> fetch_report(server_id id);
    net::awaitable<void> send(replicas::order it);
    /// Takes in what the head of an answer says of the server; `source` names
    /// the kind of the request in the log.
    void on_notice(server_record& record, const http::response& answer,
                   std::string_view source);
    replicas::server_state* find(const server_id& id);
    void publish_holdings(const server_id& id);
    std::set<server_id> servers_to_publish(bool is_update);

    net::io_context& m_context;
    http::client_pool& m_pool;
    placement_inputs m_inputs;
    std::function<void()> m_on_holdings_changed;
    daemon::shard_elector m_shard;
    replicas::replica_planner m_planner;
    net::steady_timer m_timer;
    std::map<service_id, server_map> m_servers;
    std::map<server_id, time_point> m_report_requested_at;
    std::set<server_id> m_unpublished;
    /// The last server published by the round-robin.
    server_id m_last_published;
    time_point m_started{};
    bool m_is_planning_scheduled = false;
    bool m_is_stopped = false;
};

} // namespace cicadahub::entry
