#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "http/types.hpp"

#include <vector>

namespace cicadahub::entry
{

/// What an entry daemon is told at its start, whatever the format of the file.
struct entry_settings
{
    daemon_id name;
    data_centre_id data_centre;
    http::endpoint callers;
    http::endpoint readiness;
    http::endpoint store;
    /// Address and port of this daemon for the others; the port is the same
    /// everywhere.
    http::endpoint fleet;
    /// Hosts that may know others; up to date or not.
    std::vector<http::endpoint> seed_hosts;

    /// Part of a processor core that this host has.
    double processor_share = 1;
    /// Time from the signal to stop until the process is killed.
    milliseconds stop_grace{8'000};
    /// Holders of the order lease that take turns must be this far apart.
    milliseconds placement_lease{3'000};
    /// Repeats that the fleet may send a service in a window.
    double retry_budget_ratio = 0.2;
    /// Tokens by which an organisation may pass its rate over all hosts.
    std::int64_t quota_slack = 0;
    double retry_budget_extra = 0;
    milliseconds retry_budget_window{10'000};
};

} // namespace cicadahub::entry
