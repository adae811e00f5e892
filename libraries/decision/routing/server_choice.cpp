#include "decision/routing/server_choice.hpp"

#include <functional>
#include <vector>

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

bool may_take(const choice_candidate& it)
{
    return it.running < it.slots;
}

/// Places of two of the candidates that may take the request, trusted ones if
/// there are two.
std::vector<std::size_t> draw_two(std::span<const choice_candidate> from,
                                  std::uint64_t random)
{
    std::vector<std::size_t> open;
    for (const bool is_trusted : {true, false})
    {
        for (std::size_t n = 0; n < from.size(); ++n)
        {
            if (may_take(from[n]) && from[n].is_trusted == is_trusted)
            {
                open.push_back(n);
            }
        }
        if (open.size() >= 2)
        {
            break;
        }
    }
    if (open.size() <= 2)
    {
        return open;
    }
    const std::size_t first = random % open.size();
    // The second is drawn among the others.
    const std::size_t step = 1 + random / open.size() % (open.size() - 1);
    return {open[first], open[(first + step) % open.size()]};
}

template<class Cost>
std::optional<std::size_t> cheapest(std::span<const choice_candidate> from,
                                    Cost cost_of)
{
    std::optional<std::size_t> best;
    double least = 0;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        if (!may_take(from[n]))
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
                                         double mean_prompt_tokens,
                                         std::uint64_t random)
{
    std::optional<std::size_t> preferred;
    // To read again less than a usual prompt costs less than to meet all other
    // requests that share it at one server.
    if (static_cast<double>(prompt.shared_tokens) > mean_prompt_tokens)
    {
        preferred = preferred_for(from, prompt.key);
    }
    std::vector<std::size_t> drawn = draw_two(from, random);
    if (preferred)
    {
        drawn.push_back(*preferred);
    }
    std::vector<choice_candidate> candidates;
    for (const std::size_t n : drawn)
    {
        candidates.push_back(from[n]);
    }
    const auto choice =
        cheapest(candidates,
                 [&](std::size_t n, const choice_candidate& it)
                 {
                     const double unread =
                         preferred == drawn[n]
                             ? 0
                             : static_cast<double>(prompt.shared_tokens);
                     return unread + mean_prompt_tokens *
                                         static_cast<double>(it.running);
                 });
    return choice ? std::optional(drawn[*choice]) : std::nullopt;
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
