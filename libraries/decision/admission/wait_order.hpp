#pragma once

#include "decision/admission/pending_request.hpp"

#include <compare>

namespace cicadahub::admission
{

/// Place of a request among those that wait for the same servers; the smallest
/// begins first. It changes as time passes.
struct wait_rank
{
    enum class stage
    {
        /// Later arrivals do not go ahead of it.
        keeps_place,
        /// It misses its target unless it begins soon.
        is_pressing,
        /// It can wait longer without a loss, or has missed its target and
        /// loses nothing more before its deadline.
        can_wait,
    };

    stage reached = stage::can_wait;
    std::int64_t priority = 0;
    /// Latest start without a loss, in steps of `time_step`; the arrival of a
    /// request that keeps its place.
    std::int64_t by = 0;
    std::int64_t tokens = 0;
    time_point arrived{};

    auto operator<=>(const wait_rank&) const = default;
};

/// A request is pressing if its latest start is closer than this. A waiting
/// request is tried again every 250 ms at the latest, so that with less it
/// could be missed.
inline constexpr milliseconds pressing_time{500};
/// Among requests whose latest starts differ by less than this, a smaller one
/// begins first: it frees its slot earlier.
inline constexpr milliseconds time_step{50};

/// `first_event_after` is the usual time from the start of a request to its
/// first event.
wait_rank rank_of(const pending_request& it, milliseconds first_event_after,
                  time_point now);

/// Time until the latest start at which the target is met; negative if it can't
/// be met any more.
milliseconds slack_of(const pending_request& it, milliseconds first_event_after,
                      time_point now);

/// Urgency that a server is told, 0 to 9, 0 first. The classes keep their
/// order: what is pressing only decides between neighbouring ones.
int urgency_of(const pending_request& it, milliseconds first_event_after,
               time_point now);

} // namespace cicadahub::admission
