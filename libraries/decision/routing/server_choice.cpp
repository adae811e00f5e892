#include "decision/routing/server_choice.hpp"

#include "decision/routing/weighted_draw.hpp"

#include <algorithm>
#include <functional>
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

/// Draws a server with its number of free slots as weight: a trusted one, or
/// any other if no trusted one has a free slot.
std::optional<std::size_t> draw(std::span<const choice_candidate> from,
                                std::uint64_t random)
{
    const auto draw_of = [&](bool is_trusted)
    {
        return draw_by_weight(
            from.size(),
            [&](std::size_t n) {
                return from[n].is_trusted == is_trusted ? free_slots(from[n])
                                                        : 0;
            },
            random);
    };
    const auto trusted = draw_of(true);
    return trusted ? trusted : draw_of(false);
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

/// Next number of the SplitMix64 generator.
std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t it = state;
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9U;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebU;
    return it ^ (it >> 31U);
}

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
        weights[n] = free_slots(from[n]) * static_cast<std::uint64_t>(
                                               std::max(least, scale * factor));
    }
    return weights;
}

/// Draws some servers among those that `is_allowed` names, and returns the one
/// that reads the prompt first.
template<class Predicate>
std::optional<std::size_t>
draw_earliest(std::span<const choice_candidate> from,
              const std::vector<std::uint64_t>& weights, int draws,
              std::uint64_t random, Predicate is_allowed)
{
    const auto weight_of = [&](std::size_t n)
    {
        return is_allowed(from[n]) ? weights[n] : 0;
    };
    std::optional<std::size_t> best;
    for (int n = 0; n < draws; ++n)
    {
        const auto drawn =
            draw_by_weight(from.size(), weight_of, next_random(random));
        if (!drawn)
        {
            return std::nullopt;
        }
        if (!best || from[*drawn].prefill->as_known.own_delay <
                         from[*best].prefill->as_known.own_delay)
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

std::optional<std::size_t> choose_engine(std::span<const choice_candidate> from,
                                         const prompt_affinity& prompt,
                                         double mean_prompt_tokens,
                                         std::uint64_t random)
{
    if (has_outlooks(from))
    {
        return choose_by_prefill(from, prompt, mean_prompt_tokens, random);
    }
    const auto drawn = draw(from, random);
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
        free_slots(it) > 0 && it.is_trusted && prefill_backlog <= shared;
    return should_use_preferred ? preferred : drawn;
}

std::optional<std::size_t>
choose_by_prefill(std::span<const choice_candidate> from,
                  const prompt_affinity& prompt, double mean_prompt_tokens,
                  std::uint64_t random)
{
    const std::vector<std::uint64_t> weights = draw_weights(from);
    auto drawn = draw_earliest(from, weights, draws_within_budget, random,
                               [](const choice_candidate& it) {
                                   return it.is_trusted &&
                                          it.prefill->as_known.is_within_budget;
                               });
    const bool is_any_within_budget = drawn.has_value();
    for (const bool is_trusted : {true, false})
    {
        if (!drawn)
        {
            drawn = draw_earliest(from, weights, draws_over_budget, random,
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
            free_slots(it) > 0 && it.is_trusted &&
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
        if (free_slots(it) == 0 || !it.is_trusted)
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
    if (preferred && free_slots(from[*preferred]) > 0 &&
        from[*preferred].prefill->if_prefix_cached.is_within_budget)
    {
        return std::nullopt;
    }
    return std::min(std::max(recheck, min_budget_recheck), patience - waited);
}

std::optional<std::size_t> choose_plain(std::span<const choice_candidate> from)
{
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
