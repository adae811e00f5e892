#pragma once

#include "decision/placement/load_budget.hpp"
#include "decision/placement/replica_table.hpp"
#include "decision/placement/wake_queue.hpp"

#include <unordered_map>

namespace cicadahub::placement
{

struct placement_timing
{
    /// Upper bound of an order's transit time: it reaches its server within
    /// this time or never.
    milliseconds order_lifetime{30'000};
    /// Interval at which the remaining transit time is persisted while memory
    /// stays reserved for a late order. Without it each new owner would restart
    /// the wait, and frequent owner changes would keep the memory reserved
    /// indefinitely.
    milliseconds unsettled_write_interval{1'000};
    /// Delay before a failed order is sent again.
    milliseconds order_retry{250};
    /// A replica that was just loaded or used is not evicted for this long.
    milliseconds minimum_residency{500};
    /// Time for which a model stays in demand after a wake for it expired, so
    /// that a request that does not wait still triggers the load.
    milliseconds demand_lifetime{30'000};
    /// Failed loads in a row after which all wakes for the model are refused.
    std::uint32_t failure_limit = 3;
    /// Maximum age of a server's report. A replica that was loaded more
    /// recently may be missing from it.
    milliseconds max_report_age{2'000};
};

/// Decides which replicas are loaded on which servers. Run by the owner of the
/// placement shard; performs no I/O. An order is emitted only for a decision
/// whose write is confirmed, so the replicas that may be loaded (former owners'
/// included) are always a subset of the persisted ones.
class placement_machine
{
public:
    placement_machine(load_limits limits, placement_timing timing);

    /// Takes over the shard, starting from the last written document.
    action_list on_adopted(const document& content, epoch_number epoch,
                           time_point now);
    /// The shard was lost: no orders may be sent until the next takeover.
    void on_lost();

    action_list on_servers(const std::vector<server_spec>& servers,
                           time_point now);
    void on_items(const std::vector<item_spec>& items);

    action_list on_wake(wake it, time_point now);
    /// Removes a wake whose request has ended.
    void on_wake_cancelled(std::uint64_t ticket);
    /// Records a use of a model, with `in_use` requests running now.
    void on_used(const model_id& model, std::uint32_t in_use, time_point now);

    action_list on_committed(std::uint64_t sequence, time_point now);
    action_list on_order_result(generation_number generation, order_kind kind,
                                order_result result, time_point now);
    action_list on_report(const server_id& server, const server_report& report,
                          time_point now);
    /// A server does not answer. Its replicas keep their memory, but until it
    /// reports again they serve no wakes and it gets no new ones.
    action_list on_server_unreachable(const server_id& server, time_point now);
    action_list on_tick(time_point now);

    bool is_owner() const { return m_is_owner; }
    const replica_table& replicas() const { return m_replicas; }
    std::size_t waiting_count() const { return m_wakes.size(); }
    /// Moving average of the time that one load takes.
    milliseconds load_estimate() const { return m_load_estimate; }

private:
    struct server_entry
    {
        server_spec spec;
        server_report report;
        bool is_reachable = true;
        /// Lower part of the fencing token. Incremented when an order gets no
        /// answer, so that the server rejects the order if it arrives late.
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
    /// A loaded replica of the model on a usable server, otherwise one that is
    /// loading; null if there is neither.
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
    /// True if an unloading replica keeps its memory because a load order may
    /// still reach its server.
    bool has_late_order_pending(time_point now) const;
    /// Time until which a load order may still reach the replica's server.
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
    /// Where the server gets the weights from: 0 if they are in its memory, 1
    /// if on its disk, 2 if only in the weight store.
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
    /// Models whose wakes expired, with the time until which they stay in
    /// demand.
    std::map<model_id, time_point> m_demand;
    /// Bytes kept free on a server for the models that wait for memory or for
    /// the weight store; rebuilt in each step.
    std::map<server_id, std::int64_t> m_reserved;
    /// Failed loads of a model since its last successful load.
    std::map<model_id, std::uint32_t> m_failures;

    bool m_is_dirty = false;
    time_point m_written_at{};
    /// False until a write under this epoch is confirmed. Until then a delayed
    /// write of a former owner may still replace the document.
    bool m_has_written = false;
    std::uint64_t m_sequence = 0;
    std::optional<std::uint64_t> m_commit_in_flight;
    std::map<generation_number, replica_state> m_commit_states;
    milliseconds m_load_estimate{0};
};

} // namespace cicadahub::placement
