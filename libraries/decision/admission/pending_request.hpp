#pragma once

#include "core/units.hpp"

#include <cstdint>

namespace cicadahub::admission
{

/// Properties of a request that decide when it begins, compared with others of
/// the same service.
struct pending_request
{
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// Prompt and output together; 0 if the request does not state them.
    std::int64_t tokens = 0;
    /// Arrival of the first attempt, as far as this host knows.
    time_point arrived{};
    /// Arrival of this attempt.
    time_point attempted{};
    /// The request earns its full benefit if its first event arrives by then.
    /// Equal to `deadline` if its route has no target.
    time_point target{};
    /// The caller gives up if it has received nothing by then.
    time_point deadline{};
    /// This host refused it earlier, and it came back within the time that the
    /// refusal had promised.
    bool is_returned = false;
    /// Its caller has already received a part of the answer.
    bool is_continued = false;
};

/// From then on the request has waited for half of its time.
inline time_point due_at(const pending_request& it)
{
    return it.attempted + (it.deadline - it.attempted) / 2;
}

/// True if no later arrival, of whatever class, goes ahead of the request.
inline bool keeps_place(const pending_request& it, time_point now)
{
    return it.is_continued || now >= due_at(it);
}

} // namespace cicadahub::admission
