#pragma once

#include "core/ids.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cicadahub::routing
{

/// Regions whose servers and hosts may get a request.
class allowed_regions
{
public:
    using region_set = std::optional<std::set<region_id>>;

    /// Allows only what `it` allows too; without effect if that is empty.
    void restrict_to(const region_set& it);

    bool is_restricted() const { return m_regions.has_value(); }
    /// A server or host whose region is not known, `region` being null, is
    /// allowed only if there is no restriction.
    bool allows(const region_id* region) const;
    const region_set& regions() const { return m_regions; }

private:
    region_set m_regions;
};

/// The names of the regions, one a line, and the reverse.
std::string to_text(const std::set<region_id>& regions);
std::set<region_id> regions_from(std::string_view text);

} // namespace cicadahub::routing
