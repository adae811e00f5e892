#pragma once

#include "decision/continuity/stream_origin.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

namespace cicadahub::continuity
{

/// Hosts that remember a stream beside the one that serves it; two, so that one
/// of them may be lost with that one.
inline constexpr std::size_t keeper_count = 2;
/// Hosts that are asked: one more, since those who tell and those who ask may
/// know of different hosts.
inline constexpr std::size_t asked_count = keeper_count + 1;

/// The first `count` hosts in an order that all hosts agree on, a different one
/// for each stream.
inline std::vector<daemon_id>
select_keepers(const stream_key& stream, const std::vector<daemon_id>& hosts,
               std::size_t count)
{
    std::vector<std::pair<std::size_t, daemon_id>> ranked;
    ranked.reserve(hosts.size());
    for (const daemon_id& it : hosts)
    {
        ranked.emplace_back(
            std::hash<std::string>{}(it.value() + '|' + stream.value()), it);
    }
    const std::size_t n = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked.end());
    std::vector<daemon_id> selected;
    selected.reserve(n);
    for (std::size_t k = 0; k < n; ++k)
    {
        selected.push_back(std::move(ranked[k].second));
    }
    return selected;
}

} // namespace cicadahub::continuity
