#pragma once

#include "decision/replicas/replica_index.hpp"

namespace cicadahub::replicas
{

/// An unload waits for the requests that run; a usual one takes this long.
inline constexpr double typical_request_ms = 300;

/// Requests of one model that run at a server, fleet-wide.
std::uint32_t running_at(const planner_view& view, const server_id& server,
                         const model_id& model);

model_use use_of(const planner_view& view, const model_id& model);

/// What it costs, in milliseconds of waiting, to drop a model from a server.
double eviction_cost(const planner_view& view, const replica_index& index,
                     const server_state& server, const model_id& model,
                     time_point now);

} // namespace cicadahub::replicas
