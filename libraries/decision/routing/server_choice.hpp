#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace cicadahub::routing
{

/// A server that can run the request, with its load over the whole fleet.
struct choice_candidate
{
    const server_id* server = nullptr;
    std::uint32_t running = 0;
    std::uint32_t slots = 1;
    bool is_same_data_centre = false;
    bool is_trusted = true;
};

/// What of a prompt other requests share, and so may be kept by a server.
struct prompt_affinity
{
    /// Names the shared parts with their model; the same at every daemon.
    std::string key;
    std::int64_t shared_tokens = 0;
};

/// The engine to send a request to: one drawn by `random` with its free places
/// as weight, or the one that all daemons prefer for a long shared prompt, if
/// less is read there before the request. What runs at the servers is known
/// late, so that daemons which all took the least loaded one would meet there.
/// None if all are full.
std::optional<std::size_t> choose_engine(std::span<const choice_candidate> from,
                                         const prompt_affinity& prompt,
                                         double mean_prompt_tokens,
                                         std::uint64_t random);

/// The server of a plain service: the least loaded, a near one among equals.
std::optional<std::size_t> choose_plain(std::span<const choice_candidate> from);

} // namespace cicadahub::routing
