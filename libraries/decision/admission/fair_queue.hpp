#pragma once

#include "core/ids.hpp"
#include "core/refusal.hpp"
#include "core/units.hpp"

#include <list>
#include <map>
#include <optional>
#include <vector>

namespace cicadahub::admission
{

struct queue_limits
{
    std::size_t requests = 1024;
    std::int64_t bytes = 33'554'432;
};

/// A request that waits for a slot on a server.
struct waiting_request
{
    std::uint64_t ticket = 0;
    organisation_id organisation;
    time_point deadline{};
    std::int64_t bytes = 0;
    /// Tokens that the request asks for: its cost in the deficit round robin.
    std::int64_t cost = 1;
};

/// Queue of waiting requests, bounded in number and bytes. Organisations take
/// turns by the cost of their requests (deficit round robin; Shreedhar and
/// Varghese, 1995); within an organisation, the earliest deadline goes first.
/// Each request leaves the queue exactly once: taken, expired or cancelled.
class fair_queue
{
public:
    explicit fair_queue(queue_limits limits) : m_limits(limits) {}

    /// Adds the request, or refuses it if the queue is full or if, at the
    /// recent rate of departures, it would not leave before its deadline.
    std::optional<refusal> add(waiting_request it, time_point now);

    /// Removes and returns the next request; none if the queue is empty.
    std::optional<waiting_request> take(time_point now);

    /// Removes the requests whose deadline has passed.
    std::vector<waiting_request> take_expired(time_point now);

    bool cancel(std::uint64_t ticket);

    std::size_t size() const { return m_count; }
    std::int64_t bytes() const { return m_bytes; }
    /// Estimated time until all requests in the queue have left.
    milliseconds estimated_wait() const;

private:
    /// Waiting requests of one organisation, sorted by deadline.
    struct flow
    {
        std::list<waiting_request> requests;
        std::int64_t deficit = 0;
    };

    using flow_map = std::map<organisation_id, flow>;

    void note_removal(const waiting_request& it);
    flow_map::iterator next_flow();
    void note_departure(time_point now);
    bool is_flow_full(const organisation_id& organisation) const;

    queue_limits m_limits;
    flow_map m_flows;
    organisation_id m_current;
    std::size_t m_count = 0;
    std::int64_t m_bytes = 0;
    time_point m_last_departure{};
    double m_us_between_departures = 0;
};

} // namespace cicadahub::admission
