#include "decision/routing/prefill_budget.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace cicadahub::routing
{

namespace
{

/// The time to the first event of a shorter prompt tells little of the rate:
/// most of it is spent on the network and on the first token.
constexpr std::int64_t min_sample_tokens = 256;
/// It takes a server 50 to 110 ms to read as much, many times the rest.
constexpr std::int64_t large_sample_tokens = 2'048;
constexpr std::size_t min_samples = 3;
/// Most requests wait for others at the server; the fastest tenth does not.
constexpr std::size_t samples_per_fastest = 10;
/// Time for which a target counts after the last request with it. Requests run
/// for some seconds, and those of other hosts have the same targets.
constexpr milliseconds target_window{10'000};
/// A server may be several times slower than expected, since others use its
/// machine.
constexpr int slowest_factor = 4;
/// Before the rate is known.
constexpr milliseconds unknown_reading_time{2'000};

/// Over this time the share of long prompts is averaged: a host of 66 sees some
/// ten requests a second, of which a few in a hundred may be long.
constexpr std::chrono::duration<double> share_window{300};

milliseconds to_milliseconds(double it)
{
    return milliseconds(std::llround(std::max(0.0, it)));
}

} // namespace

void prefill_budget::on_request(std::int64_t unread, milliseconds target,
                                time_point now)
{
    if (now >= m_window_began + target_window)
    {
        const bool is_next = now < m_window_began + 2 * target_window;
        m_previous_target = is_next ? m_current_target : std::nullopt;
        m_current_target.reset();
        m_window_began = now;
    }
    m_current_target = std::min(target, m_current_target.value_or(target));
    if (!m_tokens_per_ms)
    {
        return;
    }
    const std::chrono::duration<double> age = now - m_tokens_at;
    const double kept = std::exp(-std::max(0.0, age / share_window));
    m_tokens_at = now;
    const auto tokens = static_cast<double>(unread);
    m_all_tokens = m_all_tokens * kept + tokens;
    m_long_tokens =
        m_long_tokens * kept +
        (is_long(unread, target, *m_tokens_per_ms, now) ? tokens : 0);
}

std::optional<milliseconds>
prefill_budget::shortest_recent_target(time_point now) const
{
    if (now >= m_window_began + 2 * target_window)
    {
        return std::nullopt;
    }
    if (!m_previous_target || !m_current_target)
    {
        return m_current_target ? m_current_target : m_previous_target;
    }
    return std::min(*m_previous_target, *m_current_target);
}

void prefill_budget::rate_samples::add(double rate)
{
    m_rates[m_count % max_samples] = rate;
    ++m_count;
}

std::optional<double> prefill_budget::rate_samples::fastest() const
{
    const std::size_t n = std::min(m_count, max_samples);
    if (n < min_samples)
    {
        return std::nullopt;
    }
    std::array<double, max_samples> sorted = m_rates;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(n);
    const auto at =
        sorted.begin() + static_cast<std::ptrdiff_t>(n / samples_per_fastest);
    std::nth_element(sorted.begin(), at, end, std::greater<>());
    return *at;
}

void prefill_budget::on_first_event(std::int64_t tokens, microseconds took)
{
    if (tokens < min_sample_tokens || took.count() <= 0)
    {
        return;
    }
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    auto& samples =
        tokens < large_sample_tokens ? m_small_samples : m_large_samples;
    samples.add(static_cast<double>(tokens) / ms);
    const auto of_large = m_large_samples.fastest();
    m_tokens_per_ms = of_large ? of_large : m_small_samples.fastest();
}

bool prefill_budget::is_long(std::int64_t unread, milliseconds target,
                             double tokens_per_ms, time_point now) const
{
    const milliseconds shortest =
        std::min(target, shortest_recent_target(now).value_or(target));
    return static_cast<double>(unread) >
           (1 - max_prompt_share) * target_share * tokens_per_ms *
               static_cast<double>(shortest.count());
}

prefill_cost prefill_budget::cost_of(const unread_prompts& server,
                                     const prompt_at_server& prompt,
                                     std::int64_t unread, double tokens_per_ms,
                                     time_point now) const
{
    milliseconds shortest = std::min(
        prompt.target, server.shortest_target().value_or(prompt.target));
    if (prompt.is_server_shared)
    {
        shortest =
            std::min(shortest, shortest_recent_target(now).value_or(shortest));
    }
    const double budget =
        target_share * tokens_per_ms * static_cast<double>(shortest.count());
    const auto tokens = static_cast<double>(unread);
    const auto own = static_cast<double>(server.own(now));
    const double left = server.left_elsewhere(tokens_per_ms, now);
    // Servers that reports of other hosts show as busy are not avoided: the
    // reports are older than it takes to read a prompt, and all hosts would
    // move to the same other servers.
    const double excess =
        own + std::min(tokens, max_prompt_share * budget) - budget;
    prefill_cost it;
    it.own_delay = to_milliseconds((own + tokens) / tokens_per_ms);
    it.expected_delay = to_milliseconds(
        (own + tokens + std::max(left, server.usual_elsewhere())) /
        tokens_per_ms);
    it.added = to_milliseconds(tokens / tokens_per_ms);
    it.is_within_budget = excess <= 0;
    it.time_to_budget = to_milliseconds(excess / tokens_per_ms);
    return it;
}

std::optional<prefill_outlook>
prefill_budget::outlook_of(const unread_prompts& server,
                           const prompt_at_server& prompt, time_point now) const
{
    if (!m_tokens_per_ms)
    {
        return std::nullopt;
    }
    const double rate = *m_tokens_per_ms;
    prefill_outlook it;
    it.as_known = cost_of(server, prompt, prompt.unread_tokens, rate, now);
    it.if_prefix_cached = cost_of(
        server, prompt, std::min(prompt.unread_tokens, prompt.specific_tokens),
        rate, now);
    it.is_long = is_long(prompt.unread_tokens, prompt.target, rate, now);
    const double long_share =
        m_all_tokens > 0 ? m_long_tokens / m_all_tokens : 0;
    it.long_part =
        std::clamp(long_share * static_cast<double>(prompt.rank.servers) -
                       static_cast<double>(prompt.rank.place),
                   0.0, 1.0);
    const auto slack =
        std::max<std::int64_t>(1, (prompt.target - it.as_known.added).count());
    it.usual_share =
        (server.usual_elsewhere() + static_cast<double>(server.own(now))) /
        rate / static_cast<double>(slack);
    return it;
}

milliseconds prefill_budget::longest_reading(const unread_prompts& server,
                                             std::int64_t unread,
                                             time_point now) const
{
    if (!m_tokens_per_ms)
    {
        return unknown_reading_time;
    }
    const double tokens = static_cast<double>(server.own(now) + unread) +
                          server.usual_elsewhere();
    return unknown_reading_time / slowest_factor +
           slowest_factor * to_milliseconds(tokens / *m_tokens_per_ms);
}

} // namespace cicadahub::routing
