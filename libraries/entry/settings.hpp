#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "http/types.hpp"

#include <map>
#include <vector>

namespace cicadahub::entry
{

/// Settings of an entry daemon, independent of the format of the settings file.
struct entry_settings
{
    daemon_id name;
    data_centre_id data_centre;
    http::endpoint callers;
    http::endpoint readiness;
    http::endpoint store;
    /// Address on which the other daemons reach this one; all daemons use the
    /// same port.
    http::endpoint fleet;
    /// Hosts to contact first; the list may be out of date.
    std::vector<http::endpoint> seed_hosts;

    /// Callers compete for servers with too little room: requests are admitted
    /// and servers chosen by what the servers state of their load, also if they
    /// do not state their pace.
    bool is_contended = false;
    /// Fraction of a processor core that is available to this host.
    double processor_share = 1;
    /// Bytes that this host's link carries each second.
    double link_bytes_per_second = 125e6;
    /// Memory of this host; a process that exceeds it is killed.
    std::size_t memory_bytes = 256'000'000;
    /// Descriptors that the process may have open, with those of files.
    std::size_t descriptors = 4'096;
    /// Time between the stop signal and the kill of the process.
    milliseconds stop_grace{8'000};
    /// Time without a renewal after which another host may take over the
    /// placement lease.
    milliseconds placement_lease{3'000};
    /// Retry budget of each service within one window: `retry_budget_ratio`
    /// retries per request, and `retry_budget_extra` more, shared by all hosts.
    double retry_budget_ratio = 0.2;
    /// Tokens by which an organisation may exceed its rate, over all hosts.
    std::int64_t quota_slack = 0;
    double retry_budget_extra = 0;
    milliseconds retry_budget_window{10'000};
    /// Requests that a cold server may get in one second from all hosts:
    /// `cold_overage` times its rate, and `cold_slack` more.
    double cold_overage = 1.5;
    double cold_slack = 5;
    /// True if operators may ask that data centres get no requests.
    bool follows_evacuations = false;
    /// Region of this host, and that of each data centre.
    region_id region;
    std::map<data_centre_id, region_id> regions;
};

} // namespace cicadahub::entry
