#pragma once

#include "configuration/snapshot.hpp"
#include "core/snapshot_cell.hpp"
#include "decision/routing/routing_table.hpp"

#include <atomic>

namespace cicadahub::caller
{

/// What the control side publishes to the threads that serve requests.
struct published_state
{
    snapshot_cell<configuration::snapshot> configuration;
    snapshot_cell<routing::routing_table> routes;
    /// The daemon has a view that it may serve from.
    std::atomic<bool> is_ready{false};
    std::atomic<bool> is_draining{false};
};

} // namespace cicadahub::caller
