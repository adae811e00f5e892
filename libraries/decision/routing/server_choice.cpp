#include "decision/routing/server_choice.hpp"

#include "decision/routing/weighted_draw.hpp"

#include <algorithm>
#include <functional>

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
    const auto drawn = draw(from, random);
    const auto shared = static_cast<double>(prompt.shared_tokens);
    // Prefilling a short shared prefix again costs less than competing at one
    // server with all other requests that share it.
    if (!drawn || shared <= mean_prompt_tokens)
    {
        return drawn;
    }
    const auto preferred = preferred_server(from, prompt.key);
    const choice_candidate& it = from[*preferred];
    const double prefill_backlog =
        mean_prompt_tokens * (static_cast<double>(it.running) -
                              static_cast<double>(from[*drawn].running));
    const bool should_use_preferred =
        free_slots(it) > 0 && it.is_trusted && prefill_backlog <= shared;
    return should_use_preferred ? preferred : drawn;
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
