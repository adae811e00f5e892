#pragma once

#include "core/units.hpp"
#include "decision/routing/unread_prompts.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace cicadahub::routing
{

/// What a request would meet at a server, and would cause there.
struct prefill_cost
{
    /// Time until the prompt and those of this host's requests before it have
    /// been read. Servers are compared by this: what other hosts report is too
    /// old, and if all hosts avoided the same servers by it, they would meet at
    /// the others.
    milliseconds own_delay{0};
    /// The same with the usual backlog of other hosts' requests.
    milliseconds expected_delay{0};
    /// Time by which the prompt delays the first events of other requests.
    milliseconds added{0};
    /// The backlog of this host's requests stays within the server's budget.
    bool is_within_budget = true;
    /// Time until it would, if nothing else is sent there.
    milliseconds time_to_budget{0};
};

struct prefill_outlook
{
    /// With what this host knows of the server's cache.
    prefill_cost as_known;
    /// With all shared parts of the prompt in its cache.
    prefill_cost if_prefix_cached;
    /// The server has to read so much of the prompt that others would miss
    /// their targets behind it.
    bool is_long = false;
    /// How far the server belongs to those that read the long prompts, from 0
    /// to 1.
    double long_part = 0;
    /// Usual backlog, as a part of the time that the request can wait and still
    /// meet its target.
    double usual_share = 0;
};

/// Place of a server among all servers of its service, in an order that is the
/// same at every host.
struct server_rank
{
    std::size_t place = 0;
    std::size_t servers = 0;
};

/// What a server would have to read for a request.
struct prompt_at_server
{
    std::int64_t unread_tokens = 0;
    /// If it had all shared parts in its cache.
    std::int64_t specific_tokens = 0;
    milliseconds target{0};
    /// Requests of other hosts run on the server.
    bool is_server_shared = false;
    server_rank rank;
};

/// How fast the servers of one service read prompts, and how many unread tokens
/// each may have so that all requests get their first event within their
/// target. The rate is learned from first events; without it nothing is
/// estimated.
class prefill_budget
{
public:
    /// Part of the shortest target in which a server's backlog is to be read.
    /// The rest is left for the request's own prompt, its way there and back,
    /// and requests of which this host does not know.
    static constexpr double target_share = 0.5;
    /// A prompt counts with at most this part of the budget, so that one that
    /// is larger than the budget still gets a server, of which little else is
    /// to be read. A prompt of no more than the remaining part is not long.
    static constexpr double max_prompt_share = 0.75;

    /// A request goes to the service, at which a server has `unread` tokens to
    /// read for it.
    void on_request(std::int64_t unread, milliseconds target, time_point now);

    /// The first event of a request came after this time. `tokens` are those
    /// that the server has certainly read for it, the parts specific to the
    /// request: other hosts may have had the shared ones read.
    void on_first_event(std::int64_t tokens, microseconds took);

    /// Tokens that a server reads in a millisecond if nothing else is to be
    /// read there.
    std::optional<double> tokens_per_ms() const { return m_tokens_per_ms; }

    /// Empty as long as the rate is not known.
    std::optional<prefill_outlook> outlook_of(const unread_prompts& server,
                                              const prompt_at_server& prompt,
                                              time_point now) const;

    /// Time after which a prompt that was sent counts as read, even if no first
    /// event has arrived.
    milliseconds longest_reading(const unread_prompts& server,
                                 std::int64_t unread, time_point now) const;

private:
    std::optional<milliseconds> shortest_recent_target(time_point now) const;
    bool is_long(std::int64_t unread, milliseconds target, double tokens_per_ms,
                 time_point now) const;
    prefill_cost cost_of(const unread_prompts& server,
                         const prompt_at_server& prompt, std::int64_t unread,
                         double tokens_per_ms, time_point now) const;

    /// Rates of the last first events, in tokens per millisecond.
    class rate_samples
    {
    public:
        void add(double rate);
        /// That of the fastest; empty if there are too few.
        std::optional<double> fastest() const;

    private:
        static constexpr std::size_t max_samples = 64;
        std::array<double, max_samples> m_rates{};
        std::size_t m_count = 0;
    };

    /// Of long prompts, and of those that count as long as there are too few of
    /// these: much of their time is spent on the network and the first token.
    rate_samples m_large_samples;
    rate_samples m_small_samples;
    std::optional<double> m_tokens_per_ms;

    /// Shortest targets in the current and in the previous window.
    std::optional<milliseconds> m_current_target;
    std::optional<milliseconds> m_previous_target;
    time_point m_window_began{};

    /// Tokens of long and of all prompts, which count less as they age.
    double m_long_tokens = 0;
    double m_all_tokens = 0;
    time_point m_tokens_at{};
};

} // namespace cicadahub::routing
