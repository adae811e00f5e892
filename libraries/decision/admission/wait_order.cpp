#include "decision/admission/wait_order.hpp"

#include <algorithm>

namespace cicadahub::admission
{

namespace
{

std::int64_t steps(time_point moment)
{
    return moment.time_since_epoch() / time_step;
}

} // namespace

milliseconds slack_of(const pending_request& it, milliseconds first_event_after,
                      time_point now)
{
    return std::chrono::floor<milliseconds>(it.target - now) -
           first_event_after;
}

wait_rank rank_of(const pending_request& it, milliseconds first_event_after,
                  time_point now)
{
    wait_rank rank{wait_rank::stage::can_wait, it.priority, 0, it.tokens,
                   it.arrived};
    if (keeps_place(it, now))
    {
        // Classes and sizes do not count any more.
        return {wait_rank::stage::keeps_place, 0, steps(it.arrived), 0,
                it.arrived};
    }
    if (it.is_returned)
    {
        // Goes ahead of what came to its class later.
        rank.reached = wait_rank::stage::is_pressing;
        rank.by = steps(it.arrived);
        return rank;
    }
    const milliseconds slack = slack_of(it, first_event_after, now);
    if (slack.count() < 0)
    {
        rank.by = steps(it.deadline);
        return rank;
    }
    rank.by = steps(it.target - first_event_after);
    if (slack < pressing_time)
    {
        rank.reached = wait_rank::stage::is_pressing;
    }
    return rank;
}

int urgency_of(const pending_request& it, milliseconds first_event_after,
               time_point now)
{
    // Leaves room for a step up and down of each of the first classes.
    constexpr std::int64_t of_first_class = 2;
    constexpr std::int64_t last_class = 3;
    if (it.is_continued)
    {
        return 0;
    }
    if (keeps_place(it, now))
    {
        return 1;
    }
    const std::int64_t usual =
        of_first_class +
        2 * std::clamp<std::int64_t>(it.priority, 0, last_class);
    const milliseconds slack = slack_of(it, first_event_after, now);
    const bool is_pressing = slack.count() >= 0 && slack < pressing_time;
    return static_cast<int>(usual + (is_pressing ? 0 : 1));
}

} // namespace cicadahub::admission
