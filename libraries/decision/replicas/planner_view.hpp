#pragma once

#include "decision/replicas/server_state.hpp"

#include <map>

namespace cicadahub::replicas
{

/// Input of the planner: the servers of one service, and the fleet's demand
/// for models.
struct planner_view
{
    const serving::engine_spec& engine;
    std::map<server_id, server_state>& servers;
    std::vector<pending_demand> pending_demands;
    std::map<model_id, model_use> use;
    /// Requests in flight for each model at each server, fleet-wide.
    std::map<std::pair<server_id, model_id>, std::uint32_t> running;
    std::map<copy_name, time_point> last_used;
    /// Requests per second for each adapter, fleet-wide.
    std::map<copy_name, double> adapter_rates;
};

} // namespace cicadahub::replicas
