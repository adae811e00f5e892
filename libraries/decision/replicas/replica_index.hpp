#pragma once

#include "decision/replicas/planner_view.hpp"

#include <set>
#include <unordered_map>

namespace cicadahub::replicas
{

/// Counts of the servers that hold a model. Servers that are leaving count
/// only in `pending_evictions`.
struct replica_counts
{
    /// Servers that serve or load the model and are not unloading it.
    std::uint32_t replicas = 0;
    /// Servers that serve the model now.
    std::uint32_t serving = 0;
    /// Servers that have the weights cached in host memory or on disk.
    std::uint32_t cached = 0;
    /// Servers with the weights in any form: served, cached or being loaded.
    std::uint32_t copies = 0;
    /// Servers that unload another model to make room for this one.
    std::uint32_t pending_evictions = 0;

    bool operator==(const replica_counts&) const = default;
};

/// Counts one model over the servers of a software version, or over all.
replica_counts count_replicas(const planner_view& view, const model_id& model,
                              const server_filter& filter);

/// Replica counts of all models, updated while orders are planned. The planner
/// reads them for each model and each eviction candidate; recounting them over
/// all servers each time takes a small host longer than the time between two
/// plans.
class replica_index
{
public:
    explicit replica_index(const planner_view& view);

    const replica_counts& counts_of(const model_id& model) const;
    bool has_pending_demand(const model_id& model) const
    {
        return m_demanded_models.contains(model);
    }
    /// Streams of the model at other servers of the same software version that
    /// could go on nowhere else than at this server if theirs ended. None while
    /// all servers run one version.
    std::uint32_t streams_that_rely_on(const planner_view& view,
                                       const server_state& server,
                                       const model_id& model) const;
    /// Loads from the weight store that are in progress.
    std::uint32_t store_loads() const { return m_store_loads; }

    // Call `remove` before a server's state changes and `add` afterwards.
    void remove(const server_state& it) { count(it, -1); }
    void add(const server_state& it) { count(it, 1); }

private:
    /// One model at the servers of one software version.
    struct version_use
    {
        std::uint32_t running = 0;
        std::uint32_t serving = 0;
    };

    void count(const server_state& it, std::int32_t sign);
    void count_by_version(const planner_view& view);

    std::unordered_map<model_id, replica_counts> m_counts;
    std::set<model_id> m_demanded_models;
    /// Empty while all servers run one version. Orders of this plan don't
    /// change it.
    std::map<std::pair<software_version, model_id>, version_use> m_by_version;
    std::uint32_t m_store_loads = 0;
};

} // namespace cicadahub::replicas
