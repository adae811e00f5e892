#pragma once

#include "configuration/snapshot.hpp"
#include "core/snapshot_cell.hpp"
#include "decision/routing/routing_table.hpp"

#include <atomic>

namespace cicadahub::caller
{

/// State that the control plane publishes to the threads that serve requests.
struct published_state
{
    snapshot_cell<configuration::snapshot> configuration;
    snapshot_cell<routing::routing_table> routes;
    /// The daemon has received the platform's lists that it needs to serve.
    std::atomic<bool> is_ready{false};
    std::atomic<bool> is_draining{false};
};

} // namespace cicadahub::caller
