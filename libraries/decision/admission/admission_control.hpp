#pragma once

#include "decision/admission/refused_requests.hpp"
#include "decision/admission/start_estimate.hpp"
#include "decision/admission/wait_order.hpp"

namespace cicadahub::admission
{

/// What a request finds when it comes or looks for a server again.
struct queue_view
{
    /// Requests that wait for the same servers and begin first.
    std::size_t ahead = 0;
    /// Of `start_estimate::starts_per_second`; 0 if unknown.
    double starts_per_second = 0;
    /// Time before which no server can take it, such as the load of its model.
    milliseconds not_before{0};
};

struct admission_decision
{
    bool may_wait = true;
    /// Expected time until it begins.
    milliseconds begins_after{0};
    /// When a refused request may return.
    milliseconds retry_after{0};
};

/// Decides, for the requests of one service at one host, which of them begins
/// first, which slots are left to more urgent ones, and which is refused.
class admission_control
{
public:
    /// More urgent requests count while one came within this time.
    static constexpr milliseconds urgent_memory{5'000};
    /// Retry-After is cut to this: the load that it rests on does not last.
    static constexpr milliseconds max_retry_after{30'000};

    /// The first attempt of a request at this host has arrived.
    void on_arrival(const pending_request& it, time_point now);

    wait_rank rank_of(const pending_request& it, time_point now) const;
    int urgency_of(const pending_request& it, time_point now) const;

    /// True if the request leaves the last slots of a server to more urgent
    /// ones: some came lately, and it has time left.
    bool leaves_last_slots(const pending_request& it, time_point now) const;
    /// Slots that are left to them, of a server with this many.
    static std::uint32_t last_slots(std::uint32_t slots);

    /// Decides about a request that finds no free slot: it is refused if it
    /// would be late even if slots became free somewhat faster than expected.
    /// `min_processing_time`
    /// is what it needs before its deadline once it has begun.
    admission_decision decide_on_arrival(const pending_request& it,
                                         const queue_view& queue,
                                         milliseconds min_processing_time,
                                         time_point now);
    /// The same for one that waits already.
    admission_decision decide_while_waiting(const pending_request& it,
                                            const queue_view& queue,
                                            milliseconds min_processing_time,
                                            time_point now);

    start_estimate& starts() { return m_starts; }
    refused_requests& refused() { return m_refused; }

private:
    struct demand
    {
        sharing::rate_estimate rate;
        time_point last_arrival{};
    };

    static constexpr std::size_t max_classes = 64;

    bool has_more_urgent(const pending_request& it, time_point now) const;
    /// Starts a second that more urgent arrivals leave for the request.
    double starts_left_for(const pending_request& it, double starts_per_second,
                           time_point now);
    /// Time until the request begins after so many starts.
    static milliseconds begins_after(const pending_request& it,
                                     const queue_view& queue,
                                     double starts_before, double starts_left,
                                     time_point now);
    /// Time after which a request that is refused now may return: when the
    /// queue has become short enough, behind those refused before it.
    milliseconds next_return(milliseconds excess, double starts,
                             time_point now);

    start_estimate m_starts;
    refused_requests m_refused;
    /// Arrivals by priority.
    std::map<std::int64_t, demand> m_demand;
    time_point m_last_return{};
};

} // namespace cicadahub::admission
