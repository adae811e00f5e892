#include "decision/replicas/planner_costs.hpp"

#include <algorithm>

namespace cicadahub::replicas
{

namespace
{

/// A model used within this time is likely to be requested again soon.
constexpr milliseconds recent_use_window{1'000};

/// Extra cost of evicting a model that requests wait for: it would only have
/// to be loaded again.
constexpr double pending_demand_cost_ms = 60'000;

} // namespace

std::uint32_t running_at(const planner_view& view, const server_id& server,
                         const model_id& model)
{
    const auto it = view.running.find({server, model});
    return it == view.running.end() ? 0 : it->second;
}

model_use use_of(const planner_view& view, const model_id& model)
{
    const auto it = view.use.find(model);
    return it == view.use.end() ? model_use{} : it->second;
}

double eviction_cost(const planner_view& view, const replica_index& index,
                     const server_state& server, const model_id& model,
                     time_point now)
{
    const auto spec = view.engine.models.find(model);
    if (spec == view.engine.models.end())
    {
        return 0;
    }
    double cost = 0;
    const std::uint32_t running = running_at(view, server.id(), model);
    if (running > 0)
    {
        cost += typical_request_ms;
    }
    if (index.has_pending_demand(model))
    {
        cost += pending_demand_cost_ms;
    }
    const model_use use = use_of(view, model);
    const auto replicas =
        static_cast<double>(std::max(1U, index.counts_of(model).replicas));
    const double reload =
        static_cast<double>(std::max(server.load_time(model, spec->second),
                                     spec->second.load_from_memory)
                                .count());
    // Requests that this replica would serve during a reload.
    cost += use.requests_per_second / replicas * reload;
    cost += typical_request_ms * static_cast<double>(running);
    cost +=
        typical_request_ms *
        static_cast<double>(index.streams_that_rely_on(view, server, model));
    const auto used = view.last_used.find({model, std::nullopt});
    if (used != view.last_used.end())
    {
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - used->second);
        if (age < recent_use_window)
        {
            cost += static_cast<double>((recent_use_window - age).count()) / 2;
        }
        // Breaks ties in favour of evicting the least recently used model.
        cost += 100.0 / (1.0 + static_cast<double>(age.count()) / 1000.0);
    }
    return cost;
}

} // namespace cicadahub::replicas
