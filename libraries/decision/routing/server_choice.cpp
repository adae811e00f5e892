#include "decision/routing/server_choice.hpp"

#include "decision/routing/weighted_draw.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numbers>
#include <random>
#include <vector>

namespace cicadahub::routing
{

namespace
{

/// Added to the cost of a server that is not trusted, so that it is chosen only
/// if no trusted one has a free slot.
constexpr double untrusted_penalty = 1e9;

/// Weight of a server for a key in rendezvous hashing. The server with the
/// highest weight is preferred, which is the same one at every daemon.
std::size_t rendezvous_weight(const std::string& key, const server_id& server)
{
    return std::hash<std::string>{}(key + '|' + server.value());
}

std::optional<std::size_t>
preferred_server(std::span<const choice_candidate> from, const std::string& key)
{
    std::optional<std::size_t> best;
    std::size_t highest = 0;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const std::size_t weight = rendezvous_weight(key, *from[n].server);
        if (!best || weight > highest)
        {
            best = n;
            highest = weight;
        }
    }
    return best;
}

/// Prefilling a short shared prefix again costs less than competing at one
/// server with all other requests that share it.
bool has_long_prefix(const prompt_affinity& prompt, double mean_prompt_tokens)
{
    return static_cast<double>(prompt.shared_tokens) > mean_prompt_tokens;
}

std::uint32_t free_slots(const choice_candidate& it)
{
    return it.slots - std::min(it.slots, it.running);
}

/// Draws a trusted server by weight, or any other if the weights of all trusted
/// ones are 0.
template<class Weight>
std::optional<std::size_t> draw_trusted(std::span<const choice_candidate> from,
                                        Weight weight_of, std::uint64_t random)
{
    const auto draw_of = [&](bool is_trusted)
    {
        return draw_by_weight(
            from.size(),
            [&](std::size_t n) -> std::uint64_t {
                return from[n].is_trusted == is_trusted ? weight_of(from[n])
                                                        : 0;
            },
            random);
    };
    const auto trusted = draw_of(true);
    return trusted ? trusted : draw_of(false);
}

/// Random numbers from one that was drawn (SplitMix64).
class draw_sequence
{
public:
    using result_type = std::uint64_t;

    explicit draw_sequence(std::uint64_t random) : m_state(random) {}
    static constexpr result_type min() { return 0; }
    static constexpr result_type max()
    {
        return std::numeric_limits<result_type>::max();
    }
    result_type operator()()
    {
        m_state += 0x9e3779b97f4a7c15U;
        std::uint64_t it = m_state;
        it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9U;
        it = (it ^ (it >> 27U)) * 0x94d049bb133111ebU;
        return it ^ (it >> 31U);
    }

private:
    std::uint64_t m_state;
};

/// Room at a server where a few requests may wait, in slots.
double room(const choice_candidate& it, double queue_share)
{
    return (1 + queue_share) * it.slots - it.expected->running;
}

/// Fraction of the requests that the server could run that it is running.
double load(const choice_candidate& it)
{
    return it.expected->running / std::max<std::uint32_t>(1, it.slots);
}

/// The better of two servers. What is not known of their load is drawn, so that
/// hosts with the same old picture do not all choose the same one.
std::size_t better(std::span<const choice_candidate> from, std::size_t a,
                   std::size_t b, milliseconds time_to_target,
                   draw_sequence& random)
{
    // Part of the time left in which even the slower one has to answer.
    constexpr int target_parts = 4;
    const auto slower =
        std::max(expected_first_event(from[a]), expected_first_event(from[b]));
    const bool can_wait = target_parts * slower <= time_to_target;
    const auto cost = [&](choice_candidate it)
    {
        constexpr double same_data_centre_factor = 0.95;
        server_expectation& expected = *it.expected;
        expected.running =
            std::max(0.0, std::normal_distribution<>(
                              expected.running,
                              std::max(0.01, expected.deviation))(random));
        expected.deviation = 0;
        const double by_time =
            can_wait ? load(it)
                     : static_cast<double>(expected_first_event(it).count()) +
                           load(it);
        return it.is_same_data_centre ? same_data_centre_factor * by_time
                                      : by_time;
    };
    const double cost_of_a = cost(from[a]);
    return cost(from[b]) < cost_of_a ? b : a;
}

/// Draws two servers by weight and returns the better one; none if all weights
/// are 0.
template<class Weight>
std::optional<std::size_t> draw_expected(std::span<const choice_candidate> from,
                                         Weight weight_of, std::uint64_t random,
                                         milliseconds time_to_target)
{
    const auto integer_weight_of = [&](const choice_candidate& it)
    {
        constexpr double scale = 1'000;
        return static_cast<std::uint64_t>(
            std::ceil(scale * weight_of(it) / it.expected->pace));
    };
    draw_sequence sequence(random);
    const auto first = draw_trusted(from, integer_weight_of, sequence());
    if (!first)
    {
        return first;
    }
    const auto second = draw_trusted(from, integer_weight_of, sequence());
    return better(from, *first, *second, time_to_target, sequence);
}

bool have_expectations(std::span<const choice_candidate> from)
{
    return !from.empty() && from.front().expected;
}

/// Requests that wait at a server, as a share of its slots. Queues of engines
/// are kept short: at this host a request may still go to any server.
constexpr double engine_queue_share = 0.1;
constexpr double plain_queue_share = 0.2;
/// Weight of a plain server that seems full, as a share of its slots.
constexpr double least_plain_room = 0.05;

/// Not the room itself: all hosts have the same report of it, and by the time
/// that they all act on it the picture is reversed. With 24 engines at 79 % of
/// their slots, 6 % of the requests were rejected with the room as weight and
/// 1.5 % with the slots.
double engine_weight(const choice_candidate& it)
{
    // Room for a whole request: a small server that is full by its own word
    // would reject it.
    return room(it, engine_queue_share) >= 1 ? it.slots : 0;
}

double plain_weight(const choice_candidate& it)
{
    return std::max(room(it, plain_queue_share), least_plain_room * it.slots);
}

std::optional<std::size_t> draw(std::span<const choice_candidate> from,
                                std::uint64_t random,
                                milliseconds time_to_target)
{
    if (have_expectations(from))
    {
        return draw_expected(from, engine_weight, random, time_to_target);
    }
    return draw_trusted(from, free_slots, random);
}

/// Room for another request, as the draw counts it.
bool has_room(const choice_candidate& it)
{
    return it.expected ? engine_weight(it) > 0 : free_slots(it) > 0;
}

/// Mean of the positive part of a normally distributed number.
double mean_excess(double mean, double deviation)
{
    constexpr double least_deviation = 0.1;
    const double by = std::max(deviation, least_deviation);
    const double at = mean / by;
    const double density =
        std::exp(-at * at / 2) / std::sqrt(2 * std::numbers::pi);
    const double share = std::erfc(-at / std::numbers::sqrt2) / 2;
    return std::max(0.0, by * density + mean * share);
}

/// Weight of an engine in a draw: by what it states, or by its free slots.
std::uint64_t engine_room(const choice_candidate& it)
{
    return it.expected ? static_cast<std::uint64_t>(
                             std::ceil(engine_weight(it) / it.expected->pace))
                       : free_slots(it);
}

bool has_outlooks(std::span<const choice_candidate> from)
{
    return !from.empty() && std::all_of(from.begin(), from.end(),
                                        [](const choice_candidate& it)
                                        { return it.prefill.has_value(); });
}

/// Two draws suffice to keep daemons with the same picture apart and requests
/// off the busiest servers. Without budget anywhere the least backlog matters
/// more.
constexpr int draws_within_budget = 2;
constexpr int draws_over_budget = 4;

/// Part of the slots of the servers for short prompts from which on these go to
/// the others too, and from which on they go there alike. Of servers with 24
/// slots that have three quarters of them taken on average, 7 in 100 are full.
constexpr double spill_occupancy = 0.5;
constexpr double full_spill_occupancy = 0.75;

/// The same for long prompts by their usual backlog, as a part of the time that
/// they can wait.
constexpr double spill_backlog = 1;
constexpr double full_spill_backlog = 2;

/// A prompt waits only as long as this many times its expected delay is left
/// until its target: other hosts may send to the server before it.
constexpr int prefill_reserve = 2;

/// Shortest and longest time after which a prompt looks for budget again. A
/// change at this host wakes it earlier; others report twice a second at most.
constexpr milliseconds min_budget_recheck{10};
constexpr milliseconds max_budget_recheck{100};

/// Means over a group of servers, to which each belongs in part.
struct group_load
{
    double parts = 0;
    double usual_share = 0;
    double occupied_share = 0;

    void add(const choice_candidate& it, double part)
    {
        const double before = parts;
        parts += part;
        if (parts <= 0)
        {
            return;
        }
        const double occupied =
            1 - static_cast<double>(free_slots(it)) /
                    static_cast<double>(std::max(1U, it.slots));
        usual_share =
            (usual_share * before + it.prefill->usual_share * part) / parts;
        occupied_share = (occupied_share * before + occupied * part) / parts;
    }
};

/// From 0 at `from` to 1 at `to`.
double ramp(double it, double from, double to)
{
    return std::clamp((it - from) / (to - from), 0.0, 1.0);
}

/// Weights of the servers in a draw. Long prompts go to the servers that belong
/// to them and short ones to the others, so that short ones do not wait behind
/// long ones wherever they go. Each goes to the other servers too as far as its
/// own are overloaded, since the parts rest on an estimate.
std::vector<std::uint64_t> draw_weights(std::span<const choice_candidate> from)
{
    // Draws need integers; a free slot of a server that is avoided still counts
    // a little, so that a request never waits while there is one.
    constexpr double scale = 1'000;
    constexpr double least = 1;
    group_load long_group;
    group_load short_group;
    for (const choice_candidate& it : from)
    {
        long_group.add(it, it.prefill->long_part);
        short_group.add(it, 1 - it.prefill->long_part);
    }
    // The backlog of servers with long prompts is many times that of others
    // with the same utilisation.
    const double ratio = long_group.usual_share > 0
                             ? short_group.usual_share / long_group.usual_share
                             : 1;
    const double short_spill =
        std::max(std::min(ratio * ratio, 1.0),
                 ramp(short_group.occupied_share, spill_occupancy,
                      full_spill_occupancy));
    const double long_spill =
        ramp(long_group.usual_share, spill_backlog, full_spill_backlog);
    std::vector<std::uint64_t> weights(from.size());
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const prefill_outlook& it = *from[n].prefill;
        const double factor =
            it.is_long ? it.long_part + (1 - it.long_part) * long_spill
                       : 1 - it.long_part + it.long_part * short_spill;
        weights[n] =
            engine_room(from[n]) *
            static_cast<std::uint64_t>(std::max(least, scale * factor));
    }
    return weights;
}

/// Time until the prompt is read and the first event arrives; the reading rate
/// is that of a server of the usual pace.
double first_event_after_prefill(const choice_candidate& it)
{
    const auto delay =
        static_cast<double>(it.prefill->as_known.own_delay.count());
    return it.expected
               ? delay * it.expected->pace +
                     static_cast<double>(expected_first_event(it).count())
               : delay;
}

/// Draws some servers among those that `is_allowed` names, and returns the one
/// that reads the prompt first.
template<class Predicate>
std::optional<std::size_t>
draw_earliest(std::span<const choice_candidate> from,
              const std::vector<std::uint64_t>& weights, int draws,
              draw_sequence& random, Predicate is_allowed)
{
    const auto weight_of = [&](std::size_t n)
    {
        return is_allowed(from[n]) ? weights[n] : 0;
    };
    std::optional<std::size_t> best;
    for (int n = 0; n < draws; ++n)
    {
        const auto drawn = draw_by_weight(from.size(), weight_of, random());
        if (!drawn)
        {
            return std::nullopt;
        }
        if (!best || first_event_after_prefill(from[*drawn]) <
                         first_event_after_prefill(from[*best]))
        {
            best = drawn;
        }
    }
    return best;
}

/// Cost of sending a request of a plain service to a server.
double plain_cost(const choice_candidate& it)
{
    constexpr double same_data_centre_bonus = 0.5;
    return static_cast<double>(it.running) -
           (it.is_same_data_centre ? same_data_centre_bonus : 0) +
           (it.is_trusted ? 0 : untrusted_penalty);
}

} // namespace

server_expectation expectation_of(std::uint32_t own,
                                  const server_occupancy& occupancy,
                                  const server_pace& pace,
                                  const service_pace& usual, time_point now)
{
    const double factor = pace.factor(now);
    const attempt_times times = usual.usual();
    const milliseconds whole = scaled(times.whole, factor);
    const auto elsewhere = occupancy.running_elsewhere(whole, now);
    return {own + elsewhere.running, elsewhere.deviation, factor,
            scaled(times.first, factor), whole};
}

milliseconds expected_first_event(const choice_candidate& it)
{
    const server_expectation& expected = *it.expected;
    const auto slots =
        static_cast<double>(std::max<std::uint32_t>(1, it.slots));
    const double before =
        mean_excess(expected.running - slots + 1, expected.deviation);
    return expected.to_first +
           milliseconds(std::llround(
               before * static_cast<double>(expected.to_end.count()) / slots));
}

milliseconds time_to_room(std::span<const choice_candidate> from)
{
    constexpr milliseconds shortest{20};
    constexpr milliseconds longest{100};
    milliseconds least = longest;
    for (const choice_candidate& it : from)
    {
        least =
            std::min(least, expected_first_event(it) - it.expected->to_first);
    }
    return std::max(shortest, least);
}

std::optional<std::size_t> choose_engine(std::span<const choice_candidate> from,
                                         const prompt_affinity& prompt,
                                         double mean_prompt_tokens,
                                         std::uint64_t random,
                                         milliseconds time_to_target)
{
    if (has_outlooks(from))
    {
        return choose_by_prefill(from, prompt, mean_prompt_tokens, random);
    }
    const auto drawn = draw(from, random, time_to_target);
    if (!drawn || !has_long_prefix(prompt, mean_prompt_tokens))
    {
        return drawn;
    }
    const auto shared = static_cast<double>(prompt.shared_tokens);
    const auto preferred = preferred_server(from, prompt.key);
    const choice_candidate& it = from[*preferred];
    const double prefill_backlog =
        mean_prompt_tokens * (static_cast<double>(it.running) -
                              static_cast<double>(from[*drawn].running));
    const bool should_use_preferred =
        has_room(it) && it.is_trusted && prefill_backlog <= shared;
    return should_use_preferred ? preferred : drawn;
}

std::optional<std::size_t>
choose_by_prefill(std::span<const choice_candidate> from,
                  const prompt_affinity& prompt, double mean_prompt_tokens,
                  std::uint64_t random)
{
    const std::vector<std::uint64_t> weights = draw_weights(from);
    draw_sequence sequence(random);
    auto drawn = draw_earliest(from, weights, draws_within_budget, sequence,
                               [](const choice_candidate& it) {
                                   return it.is_trusted &&
                                          it.prefill->as_known.is_within_budget;
                               });
    const bool is_any_within_budget = drawn.has_value();
    for (const bool is_trusted : {true, false})
    {
        if (!drawn)
        {
            drawn = draw_earliest(from, weights, draws_over_budget, sequence,
                                  [is_trusted](const choice_candidate& it)
                                  { return it.is_trusted == is_trusted; });
        }
    }
    if (!drawn || !has_long_prefix(prompt, mean_prompt_tokens))
    {
        return drawn;
    }
    const prefill_cost& elsewhere = from[*drawn].prefill->as_known;
    const auto preferred = preferred_server(from, prompt.key);
    auto best = drawn;
    milliseconds least = elsewhere.own_delay;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const choice_candidate& it = from[n];
        const prefill_cost& cost = n == *preferred
                                       ? it.prefill->if_prefix_cached
                                       : it.prefill->as_known;
        const bool has_prefix = cost.added < elsewhere.added;
        const bool is_eligible =
            has_room(it) && it.is_trusted &&
            (cost.is_within_budget || !is_any_within_budget);
        if (has_prefix && is_eligible && cost.own_delay < least)
        {
            best = n;
            least = cost.own_delay;
        }
    }
    return best;
}

std::optional<milliseconds> time_to_wait_for_budget(
    std::span<const choice_candidate> from, const prompt_affinity& prompt,
    double mean_prompt_tokens, milliseconds target, milliseconds waited)
{
    if (!has_outlooks(from))
    {
        return std::nullopt;
    }
    std::optional<milliseconds> earliest;
    milliseconds recheck = max_budget_recheck;
    for (const choice_candidate& it : from)
    {
        if (!has_room(it) || !it.is_trusted)
        {
            continue;
        }
        const prefill_cost& cost = it.prefill->as_known;
        if (cost.is_within_budget || !it.prefill->is_long)
        {
            return std::nullopt;
        }
        earliest = std::min(cost.expected_delay,
                            earliest.value_or(cost.expected_delay));
        recheck = std::min(recheck, cost.time_to_budget);
    }
    if (!earliest)
    {
        return std::nullopt;
    }
    const milliseconds patience =
        std::min(target / 2, target - prefill_reserve * *earliest);
    if (waited >= patience)
    {
        return std::nullopt;
    }
    const auto preferred = has_long_prefix(prompt, mean_prompt_tokens)
                               ? preferred_server(from, prompt.key)
                               : std::nullopt;
    if (preferred && has_room(from[*preferred]) &&
        from[*preferred].prefill->if_prefix_cached.is_within_budget)
    {
        return std::nullopt;
    }
    return std::min(std::max(recheck, min_budget_recheck), patience - waited);
}

std::optional<std::size_t> choose_plain(std::span<const choice_candidate> from,
                                        std::uint64_t random,
                                        milliseconds time_to_target)
{
    if (have_expectations(from))
    {
        return draw_expected(from, plain_weight, random, time_to_target);
    }
    std::optional<std::size_t> best;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        if (free_slots(from[n]) > 0 &&
            (!best || plain_cost(from[n]) < plain_cost(from[*best])))
        {
            best = n;
        }
    }
    return best;
}

} // namespace cicadahub::routing
