#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cicadahub::sharing
{

/// Another host that objects may be fetched from.
struct object_source
{
    /// Version up to which it knows them.
    object_version version;
    /// True if it is in the same data centre: traffic between data centres
    /// costs more.
    bool is_near = false;
};

/// Index of the host to fetch from, among those that know more than `known`;
/// empty if none does. Hosts that choose at the same time choose different
/// ones, so that no link carries all the fetches: of two drawn at random the
/// one that knows more.
inline std::optional<std::size_t>
select_source(std::span<const object_source> from, object_version known,
              std::uint64_t random)
{
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        if (from[n].version > known)
        {
            (from[n].is_near ? near : far).push_back(n);
        }
    }
    const auto& candidates = near.empty() ? far : near;
    if (candidates.empty())
    {
        return std::nullopt;
    }
    constexpr int half_bits = 32;
    const std::size_t a = candidates[random % candidates.size()];
    const std::size_t b = candidates[(random >> half_bits) % candidates.size()];
    return from[a].version < from[b].version ? b : a;
}

} // namespace cicadahub::sharing
