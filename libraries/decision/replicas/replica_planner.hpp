#pragma once

#include "decision/replicas/replica_index.hpp"

namespace cicadahub::replicas
{

struct planner_limits
{
    /// Concurrent loads that the weight store serves at full speed, according
    /// to the deployments' data sheets. Beyond this number each load becomes
    /// slower.
    std::uint32_t max_concurrent_store_loads = 4;
    /// Of these, the number that prefetches may not use while the fleet has
    /// demand.
    std::uint32_t reserved_store_loads = 2;
    /// Adapters that one server fetches from the store concurrently
    /// (published).
    std::uint32_t max_concurrent_adapter_loads = 4;
    /// Requests per replica above which another replica is worth a load.
    double max_running_per_replica = 8;
};

struct planned_order
{
    order what;
    milliseconds expected_time{0};
    std::optional<model_id> makes_room_for;
};

/// Decides which models and adapters are loaded on which servers, from the
/// pending demand and the cost of loads and evictions. Performs no I/O and has
/// no state: sent orders are recorded in the `server_state` of each server.
class replica_planner
{
public:
    explicit replica_planner(planner_limits limits) : m_limits(limits) {}

    /// Returns the orders to send now, at most one model order per server.
    std::vector<planned_order> plan(const planner_view& view,
                                    time_point now) const;

private:
    struct candidate;

    /// State of one call of `plan`.
    struct planning_state
    {
        const planner_view& view;
        time_point now;
        replica_index index;
        std::vector<planned_order> orders;
    };

    /// A model with demand that no server serves, loads or makes room for.
    struct unmet_demand
    {
        model_id model;
        /// Only servers that suit it count.
        server_filter filter;
        std::uint32_t waiting = 0;
        milliseconds slack = milliseconds::max();
        double rate = 0;
        bool has_cached_copy = false;
        /// Requests expected until a load from the store would end, including
        /// those that wait now.
        double requests_until_loaded = 0;
    };

    static std::vector<unmet_demand>
    collect_unmet_demands(const planning_state& plan);
    static replica_counts counts_for(const planning_state& plan,
                                     const model_id& model,
                                     const server_filter& filter);
    void plan_first_replicas(planning_state& plan) const;
    void plan_adapters(planning_state& plan) const;
    std::optional<order> adapter_order(const planner_view& view,
                                       server_state& server,
                                       const copy_name& copy) const;
    void plan_more_replicas(planning_state& plan) const;
    /// Models with fewer copies than their demand needs, sorted by missed
    /// requests per copy, largest first.
    static std::vector<model_id> models_to_prefetch(const planning_state& plan);
    void plan_prefetches(planning_state& plan) const;
    /// Sources and servers that a load may use.
    enum class load_scope
    {
        /// Only servers that have the weights cached in memory or on disk.
        cached_copy,
        any,
        /// Only servers that hold no model, such as new ones.
        empty_server,
    };

    /// Among the servers that suit the filter.
    static std::optional<candidate>
    best_server(const planning_state& plan, const model_id& model,
                load_scope scope, const server_filter& filter = {});
    static std::optional<candidate> evaluate_server(const planning_state& plan,
                                                    const server_state& server,
                                                    const model_id& model);
    static void emit(planning_state& plan, const candidate& to,
                     const model_id& model);

    planner_limits m_limits;
};

} // namespace cicadahub::replicas
