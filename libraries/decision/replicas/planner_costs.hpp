#pragma once

#include "decision/replicas/replica_index.hpp"

namespace cicadahub::replicas
{

/// Duration of a typical request. An unload waits for the requests in flight.
inline constexpr double typical_request_ms = 300;

/// Requests in flight for a model at a server, over all daemons.
std::uint32_t running_at(const planner_view& view, const server_id& server,
                         const model_id& model);

model_use use_of(const planner_view& view, const model_id& model);

/// Cost of evicting a model from a server, in milliseconds that requests wait.
double eviction_cost(const planner_view& view, const replica_index& index,
                     const server_state& server, const model_id& model,
                     time_point now);

} // namespace cicadahub::replicas
