#pragma once

#include "core/units.hpp"
#include "decision/routing/prompt_size.hpp"

#include <list>
#include <unordered_map>

namespace cicadahub::routing
{

/// Prefixes of prompts that servers are expected to have in their KV cache,
/// since answers of this host's requests completed on them there.
class cached_prefixes
{
public:
    /// A server under load evicts what has not been used for some minutes, and
    /// may do so earlier. Half a minute too long costs one wrong estimate,
    /// since the next answer is counted again.
    static constexpr milliseconds retention{60'000};
    /// Bounds the memory to about 400 KB. A host of a fleet of 66 answers some
    /// ten requests a second, which is 600 prompts within the retention.
    static constexpr std::size_t max_prefixes = 4'096;

    /// `server` identifies a server and its incarnation.
    void on_completed(std::uint64_t server, const prompt_size& prompt,
                      time_point now);

    /// Leading tokens of the prompt that the server need not read again.
    std::int64_t cached_tokens(std::uint64_t server, const prompt_size& prompt,
                               time_point now) const;

    std::size_t size() const { return m_prefixes.size(); }

private:
    struct prefix
    {
        std::uint64_t key = 0;
        time_point completed_at{};
    };

    /// The one that completed last comes first.
    std::list<prefix> m_by_age;
    std::unordered_map<std::uint64_t, std::list<prefix>::iterator> m_prefixes;
};

} // namespace cicadahub::routing
