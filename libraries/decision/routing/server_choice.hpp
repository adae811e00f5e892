#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace cicadahub::routing
{

/// A server that can run the request, with its load from the whole fleet.
struct choice_candidate
{
    const server_id* server = nullptr;
    std::uint32_t running = 0;
    std::uint32_t slots = 1;
    bool is_same_data_centre = false;
    bool is_trusted = true;
};

/// The prefix that a prompt shares with other requests and that a server may
/// therefore have in its KV cache.
struct prompt_affinity
{
    /// Identifies the model and the shared prefix; the same at every daemon.
    std::string key;
    std::int64_t shared_tokens = 0;
};

/// Chooses the engine for a request; none if all are full. For a long shared
/// prefix it is the server that all daemons prefer for this prefix, provided
/// that its extra backlog takes no longer to prefill than the prefix itself.
/// Otherwise a server is drawn by `random` with its free slots as weight: the
/// reported load is out of date, and if all daemons chose the server with the
/// least reported load, they would overload it.
std::optional<std::size_t> choose_engine(std::span<const choice_candidate> from,
                                         const prompt_affinity& prompt,
                                         double mean_prompt_tokens,
                                         std::uint64_t random);

/// Chooses the server for a request of a plain service: the least loaded one,
/// preferring this data centre among equals.
std::optional<std::size_t> choose_plain(std::span<const choice_candidate> from);

} // namespace cicadahub::routing
