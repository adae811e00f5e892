#include "decision/routing/server_choice.hpp"

#include <functional>

namespace cicadahub::routing
{

namespace
{

/// A server under suspicion takes work only if no other can.
constexpr double distrust = 1e9;

/// Rendezvous hashing: each server has a weight for each key, and the highest
/// is preferred, whoever asks.
std::size_t weight_of(const std::string& key, const server_id& server)
{
    return std::hash<std::string>{}(key + '|' + server.value());
}

std::optional<std::size_t> preferred_for(std::span<const choice_candidate> from,
                                         const std::string& key)
{
    std::optional<std::size_t> best;
    std::size_t highest = 0;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const std::size_t weight = weight_of(key, *from[n].server);
        if (!best || weight > highest)
        {
            best = n;
            highest = weight;
        }
    }
    return best;
}

template<class Cost>
std::optional<std::size_t> cheapest(std::span<const choice_candidate> from,
                                    Cost cost_of)
{
    std::optional<std::size_t> best;
    double least = 0;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        if (from[n].running >= from[n].slots)
        {
            continue;
        }
        const double cost =
            cost_of(n, from[n]) + (from[n].is_trusted ? 0 : distrust);
        if (!best || cost < least)
        {
            best = n;
            least = cost;
        }
    }
    return best;
}

} // namespace

std::optional<std::size_t> choose_engine(std::span<const choice_candidate> from,
                                         const prompt_affinity& prompt,
                                         double mean_prompt_tokens)
{
    const auto preferred = preferred_for(from, prompt.key);
    return cheapest(from,
                    [&](std::size_t n, const choice_candidate& it)
                    {
                        const double unread =
                            preferred == n
                                ? 0
                                : static_cast<double>(prompt.shared_tokens);
                        return unread + mean_prompt_tokens *
                                            static_cast<double>(it.running);
                    });
}

std::optional<std::size_t> choose_plain(std::span<const choice_candidate> from)
{
    return cheapest(from,
                    [](std::size_t, const choice_candidate& it)
                    {
                        constexpr double near_bonus = 0.5;
                        return static_cast<double>(it.running) -
                               (it.is_near ? near_bonus : 0);
                    });
}

} // namespace cicadahub::routing
