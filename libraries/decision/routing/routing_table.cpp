#include "decision/routing/routing_table.hpp"

#include <algorithm>

namespace cicadahub::routing
{

namespace
{

/// Requests per slot of a server, where the slots are the number of requests
/// that it runs at full speed. The server's reports lag behind, so this
/// daemon's own count is used if it is higher.
double work_per_slot(const target& it)
{
    const std::uint32_t own = it.load->in_flight.load();
    const std::uint32_t reported =
        it.load->reported_running.load() + it.load->reported_waiting.load();
    return static_cast<double>(std::max(own, reported)) / it.slots;
}

} // namespace

const target* least_loaded(const std::vector<target>& targets,
                           const std::vector<server_id>& excluded)
{
    const target* best = nullptr;
    double least = 0;
    for (const target& it : targets)
    {
        if (std::find(excluded.begin(), excluded.end(), it.server) !=
            excluded.end())
        {
            continue;
        }
        const double work = work_per_slot(it);
        if (best == nullptr || work < least)
        {
            best = &it;
            least = work;
        }
    }
    return best;
}

} // namespace cicadahub::routing
