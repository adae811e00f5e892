#pragma once

#include "decision/placement/load_budget.hpp"
#include "decision/placement/replica_table.hpp"
#include "decision/placement/wake_queue.hpp"

#include <unordered_map>

namespace cicadahub::placement
{

struct placement_timing
{
    /// An order that was sent reaches its server within this time or never.
    milliseconds order_lifetime{30'000};
    /// How often the rest of that time is written while memory waits for it, so
    /// that it ends though owners change.
    milliseconds unsettled_write_interval{1'000};
    /// Wait before an order that failed is sent again.
    milliseconds order_retry{250};
    /// A replica that was just loaded or used is not evicted for this long.
    milliseconds minimum_residency{500};
    /// How long the wish for a model outlives a request refused at once.
    milliseconds demand_lifetime{30'000};
    /// Loads that fail this often end the wait for their model.
    std::uint32_t failure_limit = 3;
    /// A server's report may be this old.
    milliseconds max_report_age{2'000};
};

/// Decides which replicas are loaded where. Held by the owner of the placement
/// shard; performs no I/O. An order is emitted only for a decision that is
/// known to be written, so that what may be loaded is always a subset of what
/// is written, whoever ordered it.
class placement_machine
{
public:
    placement_machine(load_limits limits, placement_timing timing);

    /// Takes the shard over with the document as last written.
    action_list on_adopted(const document& content, epoch_number epoch,
                           time_point now);
    /// The shard was lost: nothing may be ordered any more.
    void on_lost();

    action_list on_servers(const std::vector<server_spec>& servers,
                           time_point now);
    void on_items(const std::vector<item_spec>& items);

    action_list on_wake(wake it, time_point now);
    /// The request behind a wake has ended.
    void on_wake_cancelled(std::uint64_t ticket);
    /// A daemon used a model, or has `in_use` requests for it now.
    void on_used(const model_id& model, std::uint32_t in_use, time_point now);

    action_list on_committed(std::uint64_t sequence, time_point now);
    action_list on_order_result(generation_number generation, order_kind kind,
                                order_result result, time_point now);
    action_list on_report(const server_id& server, const server_report& report,
                          time_point now);
    /// A server does not answer. What it holds stays counted, but requests
    /// are placed elsewhere until it reports again.
    action_list on_server_unreachable(const server_id& server, time_point now);
    action_list on_tick(time_point now);

    bool is_owner() const { return m_is_owner; }
    const replica_table& replicas() const { return m_replicas; }
    std::size_t waiting_count() const { return m_wakes.size(); }
    /// Estimate of the time that one load takes.
    milliseconds load_estimate() const { return m_load_estimate; }

private:
    struct server_entry
    {
        server_spec spec;
        server_report report;
        bool is_reachable = true;
        /// Grows when a late order must be fenced off on this server.
        std::uint32_t fence_step = 0;
    };

    enum class placement_outcome
    {
        done,
        waits_for_memory,
        waits_for_budget,
        impossible,
    };

    action_list step(time_point now);
    void expire_wakes(time_point now, action_list& actions);
    void place_wakes(time_point now, action_list& actions);
    bool is_usable(const server_id& server) const;
    /// A replica that serves or will serve a model; a loaded one first.
    replica_record* find_serving_replica(const model_id& model);
    void drain_leaving_servers(time_point now);
    placement_outcome place(const model_id& model, time_point now);
    placement_outcome place_on_best(const item_spec& item, time_point now);
    bool make_room(const item_spec& item, time_point now);
    std::optional<std::vector<generation_number>>
    select_victims(const server_entry& server, std::int64_t missing,
                   const std::optional<model_id>& keep, time_point now) const;
    bool is_evictable(const replica_record& record, time_point now) const;
    void create_replica(const item_spec& item, const server_entry& server,
                        time_point now);
    void mark_unloading(replica_record& record);
    void emit_orders(time_point now, action_list& actions);
    bool is_order_due(const replica_record& record, time_point now) const;
    order_action make_order(replica_record& record, time_point now);
    void emit_commit(time_point now, action_list& actions);
    /// Memory stays counted only since an order may still arrive.
    bool has_late_order_pending(time_point now) const;
    /// Until then a load order may reach the record's server.
    time_point unsettled_until(const replica_record& record) const;
    void answer_wakes(const replica& it, action_list& actions);
    void refuse(const wake& it, refusal_kind kind, action_list& actions);
    void on_load_done(replica_record& record, time_point now,
                      action_list& actions);
    void on_load_failed(replica_record& record, action_list& actions);
    bool is_idle(const replica_record& record, time_point now) const;
    std::int64_t freed_by(const replica_record& record) const;
    void drop_unloaded(replica_record& record, time_point now);
    void note_late_order(replica_record& record, time_point now);
    void adopt_orphaned_replicas(const server_id& server,
                                 const server_report& report);
    int cache_tier(const server_entry& server, const model_id& model) const;
    std::int64_t free_bytes(const server_entry& server) const;
    milliseconds retry_hint() const;

    placement_timing m_timing;
    load_budget m_budget;
    bool m_is_owner = false;
    epoch_number m_epoch;
    std::uint64_t m_next_generation = 1;

    std::map<server_id, server_entry> m_servers;
    std::vector<server_id> m_leaving;
    std::unordered_map<model_id, item_spec> m_items;
    replica_table m_replicas;
    wake_queue m_wakes;
    /// Models wanted by requests that were refused meanwhile.
    std::map<model_id, time_point> m_demand;
    std::map<server_id, std::int64_t> m_reserved;
    /// Failed loads of a model since it was last loaded.
    std::map<model_id, std::uint32_t> m_failures;

    bool m_is_dirty = false;
    time_point m_written_at{};
    /// Until then a write of a former owner may still replace the document.
    bool m_has_written = false;
    std::uint64_t m_sequence = 0;
    std::optional<std::uint64_t> m_commit_in_flight;
    std::map<generation_number, replica_state> m_commit_states;
    milliseconds m_load_estimate{0};
};

} // namespace cicadahub::placement
