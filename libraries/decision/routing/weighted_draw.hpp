#pragma once

#include <cstdint>
#include <optional>

namespace cicadahub::routing
{

/// Draws one of `count` indexes with `weight_of(index)` as its weight; none if
/// all weights are 0.
template<class Weight>
std::optional<std::size_t> draw_by_weight(std::size_t count, Weight weight_of,
                                          std::uint64_t random)
{
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < count; ++n)
    {
        sum += weight_of(n);
    }
    if (sum == 0)
    {
        return std::nullopt;
    }
    std::uint64_t at = random % sum;
    std::size_t index = 0;
    while (at >= weight_of(index))
    {
        at -= weight_of(index);
        ++index;
    }
    return index;
}

} // namespace cicadahub::routing
