#pragma once

#include "decision/replicas/replica_index.hpp"

namespace cicadahub::replicas
{

struct planner_limits
{
    /// Loads that the weight store serves at full speed at once (sheets of the
    /// deployments); more only slow one another down.
    std::uint32_t max_concurrent_store_loads = 4;
    /// Copies of weights that are fetched ahead of demand while requests come
    /// leave this many of the above to requests that wait.
    std::uint32_t reserved_store_loads = 2;
    /// Adapters that one server takes from the store at once (published).
    std::uint32_t max_concurrent_adapter_loads = 4;
    /// Requests that a replica runs before another replica is worth a load.
    double max_running_per_replica = 8;
};

struct planned_order
{
    order what;
    milliseconds expected_time{0};
    std::optional<model_id> makes_room_for;
};

/// Decides which models and adapters are loaded where, by who waits for what
/// and what it costs to bring a copy back. Performs no I/O and keeps nothing:
/// what was ordered stands in the servers' states.
class replica_planner
{
public:
    explicit replica_planner(planner_limits limits) : m_limits(limits) {}

    /// The orders to send now, at most one for a model a server.
    std::vector<planned_order> plan(const planner_view& view,
                                    time_point now) const;

private:
    struct candidate;

    /// One plan in the making.
    struct planning_state
    {
        const planner_view& view;
        time_point now;
        replica_index index;
        std::vector<planned_order> orders;
    };

    /// A model that is asked for and in no server's memory.
    struct unmet_demand
    {
        model_id model;
        std::uint32_t waiting = 0;
        milliseconds slack = milliseconds::max();
        double rate = 0;
        bool has_cached_copy = false;
        /// Requests that a load from the store would come for.
        double requests_until_loaded = 0;
    };

    static std::vector<unmet_demand>
    collect_unmet_demands(const planning_state& plan);
    void plan_first_replicas(planning_state& plan) const;
    void plan_adapters(planning_state& plan) const;
    std::optional<order> adapter_order(const planner_view& view,
                                       server_state& server,
                                       const copy_name& copy) const;
    void plan_more_replicas(planning_state& plan) const;
    /// Models with too few copies for their demand, the worst off first.
    static std::vector<model_id> models_to_prefetch(const planning_state& plan);
    void plan_prefetches(planning_state& plan) const;
    /// Where a load may come from and go to.
    enum class load_scope
    {
        /// Weights that the server has in memory or on disk.
        cached_copy,
        any,
        /// Only to a server that holds nothing yet, as one that has just
        /// joined.
        empty_server,
    };

    static std::optional<candidate> best_server(const planning_state& plan,
                                                const model_id& model,
                                                load_scope scope);
    static std::optional<candidate> evaluate_server(const planning_state& plan,
                                                    const server_state& server,
                                                    const model_id& model);
    static void emit(planning_state& plan, const candidate& to,
                     const model_id& model);

    planner_limits m_limits;
};

} // namespace cicadahub::replicas
