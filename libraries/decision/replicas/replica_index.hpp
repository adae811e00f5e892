#pragma once

#include "decision/replicas/planner_view.hpp"

#include <set>
#include <unordered_map>

namespace cicadahub::replicas
{

/// Where a model is, over all usable servers.
struct replica_counts
{
    /// Servers that hold it or load it, and are not about to drop it.
    std::uint32_t replicas = 0;
    /// Servers that serve it now.
    std::uint32_t serving = 0;
    /// Servers that have it in memory or on disk but for serving.
    std::uint32_t cached = 0;
    /// Servers with a copy of any kind, one on its way included.
    std::uint32_t copies = 0;
    /// Servers that unload something to load it.
    std::uint32_t pending_evictions = 0;

    bool operator==(const replica_counts&) const = default;
};

/// Counts over all servers, kept while orders are planned: each model and each
/// victim asks for them, and counting anew took the holder of the placement
/// lease, on a small host, longer than the time between two plans.
class replica_index
{
public:
    explicit replica_index(const planner_view& view);

    const replica_counts& counts_of(const model_id& model) const;
    bool has_pending_demand(const model_id& model) const
    {
        return m_demanded_models.contains(model);
    }
    /// Loads from the weight store that are on their way.
    std::uint32_t store_loads() const { return m_store_loads; }

    // A server's counts are taken out before it changes and added after.
    void remove(const server_state& it) { count(it, -1); }
    void add(const server_state& it) { count(it, 1); }

private:
    void count(const server_state& it, std::int32_t sign);

    std::unordered_map<model_id, replica_counts> m_counts;
    std::set<model_id> m_demanded_models;
    std::uint32_t m_store_loads = 0;
};

} // namespace cicadahub::replicas
