#pragma once

#include "core/ids.hpp"

#include <algorithm>
#include <cstddef>
#include <span>

namespace cicadahub::sharing
{

/// Hosts that watch the platform's store closely for all; two, so that the
/// loss of one is borne.
inline constexpr std::size_t watcher_count = 2;

/// True if a host is among the first by name of those that reach the store;
/// `others` holds the names of the other hosts that reach it. Hosts that hear
/// different peers may choose different hosts, which costs calls only: a host
/// that hears nobody watches itself.
inline bool is_watcher(const daemon_id& self, std::span<const daemon_id> others)
{
    const auto before =
        std::count_if(others.begin(), others.end(),
                      [&](const daemon_id& it) { return it < self; });
    return static_cast<std::size_t>(before) < watcher_count;
}

} // namespace cicadahub::sharing
