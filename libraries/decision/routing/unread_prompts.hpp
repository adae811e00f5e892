#pragma once

#include "core/units.hpp"

#include <optional>
#include <vector>

namespace cicadahub::routing
{

/// Prompt tokens that one server has still to read: those of this host's
/// requests, which are exact, and those that other hosts reported.
class unread_prompts
{
public:
    /// Names a request of this host while it runs on the server.
    using ticket = std::uint64_t;

    /// `counted_until` is the time after which the prompt counts as read: the
    /// first byte of an answer that is no stream comes only at its end.
    ticket on_sent(std::int64_t tokens, std::optional<milliseconds> target,
                   time_point counted_until);
    /// The first event of the request has arrived.
    void on_read(ticket it);
    /// The request no longer runs on the server.
    void on_ended(ticket it);

    /// Takes in the sum that the other hosts reported at `reported_at`.
    void on_report(std::int64_t tokens, time_point reported_at, time_point now);

    /// Tokens of this host's own requests.
    std::int64_t own(time_point now) const;
    /// Tokens of all other hosts' requests as last reported.
    std::int64_t reported_elsewhere() const { return m_reported; }
    /// Tokens of the last report that are left if the server has read nothing
    /// else since: a prompt is read within less time than a report takes to
    /// arrive.
    double left_elsewhere(double tokens_per_ms, time_point now) const;
    /// Mean of the reports over the last seconds.
    double usual_elsewhere() const { return m_usual; }

    /// Shortest target of this host's requests that run on the server.
    std::optional<milliseconds> shortest_target() const;

private:
    struct running_prompt
    {
        ticket id = 0;
        std::int64_t tokens = 0;
        std::optional<milliseconds> target;
        time_point counted_until{};
    };

    std::vector<running_prompt>::iterator find(ticket it);

    std::vector<running_prompt> m_running;
    ticket m_last_ticket = 0;
    std::int64_t m_reported = 0;
    time_point m_reported_at{};
    double m_usual = 0;
    time_point m_usual_at{};
};

} // namespace cicadahub::routing
