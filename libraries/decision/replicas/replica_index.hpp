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
                              const std::optional<software_version>& version);

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
    /// True if servers of several software versions serve side by side.
    bool has_several_versions() const { return m_versions.size() > 1; }
    /// Loads from the weight store that are in progress.
    std::uint32_t store_loads() const { return m_store_loads; }

    // Call `remove` before a server's state changes and `add` afterwards.
    void remove(const server_state& it) { count(it, -1); }
    void add(const server_state& it) { count(it, 1); }

private:
    void count(const server_state& it, std::int32_t sign);

    std::unordered_map<model_id, replica_counts> m_counts;
    std::set<model_id> m_demanded_models;
    std::set<software_version> m_versions;
    std::uint32_t m_store_loads = 0;
};

} // namespace cicadahub::replicas
