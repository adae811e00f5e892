#pragma once

#include "core/ids.hpp"

namespace cicadahub
{

/// Era of the platform's store. It rises when the store is restored from an
/// older copy, which then gives revisions out again; 0 if it tells none.
using store_era = strong_type<struct store_era_tag, std::uint32_t>;

/// An `object_version` holds the store's revision in its lower bits and the era
/// above them, so that versions of a later era compare as newer.
inline constexpr int revision_bits = 40;

inline object_version in_era(store_era era, std::uint64_t revision)
{
    return object_version((std::uint64_t{era.value()} << revision_bits) |
                          revision);
}

inline store_era era_of(object_version it)
{
    return store_era(static_cast<std::uint32_t>(it.value() >> revision_bits));
}

inline std::uint64_t revision_of(object_version it)
{
    return it.value() & ((std::uint64_t{1} << revision_bits) - 1);
}

/// Epochs of leases won in this era are higher. A restored lease object may
/// have lost epochs that backend servers have seen; later ones must be above
/// them.
inline epoch_number epoch_floor(store_era era)
{
    constexpr int era_shift = 32;
    return epoch_number(std::uint64_t{era.value()} << era_shift);
}

} // namespace cicadahub
