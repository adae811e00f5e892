#include "decision/admission/admission_control.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::admission
{

namespace
{

constexpr double milliseconds_per_second = 1000;
/// Of the starts, more urgent arrivals leave at least this part: what has
/// waited for half of its time goes ahead of them.
constexpr double least_part_left = 0.05;
/// One that waits is refused only if its estimate is beyond its time by this
/// factor, so that a moment without completions refuses nobody.
constexpr int waiting_margin = 2;
/// Retry-After without an estimate, or for a queue that is only just too long.
constexpr milliseconds least_retry_after{250};
constexpr double longest_estimate_ms = 3'600'000;

milliseconds time_until(time_point moment, time_point now)
{
    return std::chrono::floor<milliseconds>(moment - now);
}

/// Time until so many requests have begun.
milliseconds time_of(double starts, double starts_per_second)
{
    return milliseconds(std::llround(
        std::min(starts * milliseconds_per_second / starts_per_second,
                 longest_estimate_ms)));
}

/// Starts until a request behind `ahead` others has begun.
double starts_until(std::size_t ahead)
{
    return static_cast<double>(ahead) + 1;
}

/// The same if slots become free faster than expected by a standard deviation
/// of their number.
double least_starts_until(std::size_t ahead)
{
    const double mean = starts_until(ahead);
    return mean - std::sqrt(mean);
}

} // namespace

void admission_control::on_arrival(const pending_request& it, time_point now)
{
    if (m_demand.size() >= max_classes && !m_demand.contains(it.priority))
    {
        m_demand.clear();
    }
    demand& of_class = m_demand[it.priority];
    of_class.rate.add(1, now);
    of_class.last_arrival = now;
}

wait_rank admission_control::rank_of(const pending_request& it,
                                     time_point now) const
{
    return admission::rank_of(it, m_starts.first_event_after(), now);
}

int admission_control::urgency_of(const pending_request& it,
                                  time_point now) const
{
    return admission::urgency_of(it, m_starts.first_event_after(), now);
}

bool admission_control::has_more_urgent(const pending_request& it,
                                        time_point now) const
{
    for (const auto& [priority, known] : m_demand)
    {
        if (priority >= it.priority)
        {
            break;
        }
        if (now - known.last_arrival < urgent_memory)
        {
            return true;
        }
    }
    return false;
}

bool admission_control::leaves_last_slots(const pending_request& it,
                                          time_point now) const
{
    return has_more_urgent(it, now) &&
           rank_of(it, now).reached == wait_rank::stage::can_wait;
}

std::uint32_t admission_control::last_slots(std::uint32_t slots)
{
    // One in twelve covers the urgent arrivals within the time in which a slot
    // of so many becomes free. A smaller server would lose too much by it.
    constexpr std::uint32_t slots_per_last_slot = 12;
    constexpr std::uint32_t least_slots = 4;
    return slots < least_slots
               ? 0
               : (slots + slots_per_last_slot - 1) / slots_per_last_slot;
}

double admission_control::starts_left_for(const pending_request& it,
                                          double starts_per_second,
                                          time_point now)
{
    if (keeps_place(it, now))
    {
        return starts_per_second;
    }
    double ahead = 0;
    for (auto& [priority, known] : m_demand)
    {
        if (priority >= it.priority)
        {
            break;
        }
        ahead += known.rate.per_second(now);
    }
    return std::max(starts_per_second - ahead,
                    starts_per_second * least_part_left);
}

milliseconds admission_control::begins_after(const pending_request& it,
                                             const queue_view& queue,
                                             double starts_before,
                                             double starts_left, time_point now)
{
    if (starts_left <= 0)
    {
        return queue.not_before;
    }
    milliseconds wait = time_of(starts_before, starts_left);
    if (!keeps_place(it, now))
    {
        // From its half time on only those that are ahead now still are.
        wait = std::min(
            wait, std::max(time_until(due_at(it), now),
                           time_of(starts_before, queue.starts_per_second)));
    }
    return std::max(queue.not_before, wait);
}

milliseconds admission_control::next_return(milliseconds excess, double starts,
                                            time_point now)
{
    const milliseconds first = std::max(excess, least_retry_after);
    if (starts <= 0)
    {
        return std::min(first, max_retry_after);
    }
    const auto step =
        std::chrono::microseconds(std::llround(1'000'000 / starts));
    m_last_return = std::max(m_last_return + step, now + first);
    return std::min(std::chrono::ceil<milliseconds>(m_last_return - now),
                    max_retry_after);
}

admission_decision admission_control::decide_on_arrival(
    const pending_request& it, const queue_view& queue,
    milliseconds min_processing_time, time_point now)
{
    const double starts = starts_left_for(it, queue.starts_per_second, now);
    const milliseconds left =
        time_until(it.deadline, now) - min_processing_time;
    // A request that would begin only by keeping its place would then take a
    // slot from more urgent ones.
    const milliseconds allowed =
        has_more_urgent(it, now) && !keeps_place(it, now)
            ? std::min(left, time_until(due_at(it), now))
            : left;
    const auto excess = [&](double starts_before)
    {
        const milliseconds turn =
            starts <= 0 ? milliseconds(0) : time_of(starts_before, starts);
        return std::max(begins_after(it, queue, starts_before, starts, now) -
                            left,
                        turn - allowed);
    };
    admission_decision result;
    result.begins_after =
        begins_after(it, queue, starts_until(queue.ahead), starts, now);
    result.may_wait =
        it.is_returned || it.is_continued
            ? left.count() >= 0 && queue.not_before <= left
            : excess(least_starts_until(queue.ahead)).count() <= 0;
    if (!result.may_wait)
    {
        result.retry_after =
            next_return(excess(starts_until(queue.ahead)), starts, now);
    }
    return result;
}

admission_decision admission_control::decide_while_waiting(
    const pending_request& it, const queue_view& queue,
    milliseconds min_processing_time, time_point now)
{
    admission_decision result;
    const double starts = starts_left_for(it, queue.starts_per_second, now);
    result.begins_after =
        begins_after(it, queue, starts_until(queue.ahead), starts, now);
    const milliseconds left =
        time_until(it.deadline, now) - min_processing_time;
    result.may_wait = left.count() >= 0 && queue.not_before <= left &&
                      (it.is_returned || it.is_continued ||
                       result.begins_after <= waiting_margin * left);
    if (!result.may_wait)
    {
        result.retry_after =
            next_return(result.begins_after - left, starts, now);
    }
    return result;
}

} // namespace cicadahub::admission
