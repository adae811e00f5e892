#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace cicadahub::suspicion
{

/// Time after which a host has heard that another one began a trial.
inline constexpr milliseconds trial_gap{100};

/// How long a host waits for its turn to try what is refused: all hosts agree
/// on an order, a different one for each request or part.
inline milliseconds trial_delay(const std::string& tried, const daemon_id& self,
                                const std::vector<daemon_id>& others)
{
    const auto rank = [&](const daemon_id& it)
    {
        return std::pair(std::hash<std::string>{}(it.value() + '|' + tried),
                         it);
    };
    const auto before = std::count_if(others.begin(), others.end(),
                                      [&, own = rank(self)](const daemon_id& it)
                                      { return rank(it) < own; });
    return trial_gap * before;
}

} // namespace cicadahub::suspicion
