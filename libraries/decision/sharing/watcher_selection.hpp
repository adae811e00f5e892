#pragma once

#include "core/ids.hpp"

#include <algorithm>
#include <cstddef>
#include <span>

namespace cicadahub::sharing
{

/// Number of hosts that watch the platform's store on behalf of the fleet; two,
/// so that the loss of one is tolerated.
inline constexpr std::size_t watcher_count = 2;

/// True if `self` is among the first hosts, by name, of those that reach the
/// store; `others` holds the names of the other hosts that reach it. Hosts that
/// receive reports from different peers may select different watchers, which
/// only adds calls to the store. A host without peers selects itself.
inline bool is_watcher(const daemon_id& self, std::span<const daemon_id> others)
{
    const auto before =
        std::count_if(others.begin(), others.end(),
                      [&](const daemon_id& it) { return it < self; });
    return static_cast<std::size_t>(before) < watcher_count;
}

} // namespace cicadahub::sharing
