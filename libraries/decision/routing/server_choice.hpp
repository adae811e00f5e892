#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "decision/routing/prefill_budget.hpp"
#include "decision/routing/server_occupancy.hpp"
#include "decision/routing/server_pace.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace cicadahub::routing
{

/// What a request can expect at a server that states its load and pace.
struct server_expectation
{
    /// Requests that run or wait there.
    double running = 0;
    /// Standard deviation of the actual number.
    double deviation = 0;
    /// How many times as long as usual work takes there.
    double pace = 1;
    /// Times that requests take there once they run.
    milliseconds to_first{0};
    milliseconds to_end{0};
};

/// `own` is the number of this host's requests that are running there.
server_expectation expectation_of(std::uint32_t own,
                                  const server_occupancy& occupancy,
                                  const server_pace& pace,
                                  const service_pace& usual, time_point now);

/// A server that can run the request, with its load from the whole fleet.
struct choice_candidate
{
    const server_id* server = nullptr;
    std::uint32_t running = 0;
    std::uint32_t slots = 1;
    bool is_same_data_centre = false;
    bool is_trusted = true;
    /// Set for all candidates or for none.
    std::optional<server_expectation> expected = std::nullopt;
    /// Empty if prompts are not taken into account for the service.
    std::optional<prefill_outlook> prefill = std::nullopt;
};

/// Time until the request is sent and its first event arrives. A request that
/// finds no free slot waits until one of those before it ends.
milliseconds expected_first_event(const choice_candidate& it);

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
/// least reported load, they would overload it. If all candidates have a
/// prefill outlook, see `choose_by_prefill`.
///
/// Where servers state their load and pace, two are drawn with the work that
/// they can take on in a given time as weight, and the one with the less
/// expected time is chosen, so that neither a common picture nor an old one
/// leads all hosts to one server. A request that meets its target at the slower
/// one too, with `time_to_target` left, takes the less loaded one, which leaves
/// the faster servers to others.
std::optional<std::size_t>
choose_engine(std::span<const choice_candidate> from,
              const prompt_affinity& prompt, double mean_prompt_tokens,
              std::uint64_t random,
              milliseconds time_to_target = milliseconds(0));

/// Time after which one of the servers may have room, if none has now.
milliseconds time_to_room(std::span<const choice_candidate> from);

/// The same by what the servers have still to read. Of two servers that are
/// drawn with their free slots as weight among those within their budget, the
/// one is taken that reads the prompt earlier; if none is within its budget, of
/// more that are drawn among all. A long shared prefix leads to the server that
/// all daemons prefer for it, or to one known to have it cached, if that saves
/// more time than the extra backlog costs.
std::optional<std::size_t>
choose_by_prefill(std::span<const choice_candidate> from,
                  const prompt_affinity& prompt, double mean_prompt_tokens,
                  std::uint64_t random);

/// Time for which a long prompt is to wait before it looks for a server again,
/// because no server with a free slot has budget for it. Empty if it is not to
/// wait: it is short, it has waited for half of its target, or it would miss
/// its target by waiting and does not yet.
std::optional<milliseconds> time_to_wait_for_budget(
    std::span<const choice_candidate> from, const prompt_affinity& prompt,
    double mean_prompt_tokens, milliseconds target, milliseconds waited);

/// Chooses the server for a request of a plain service: the least loaded one,
/// preferring this data centre among equals. Where servers state their load and
/// pace, it is chosen like an engine, but none counts as full: the statements
/// are older than the work that they tell of, and a rejection costs less than
/// an idle server.
std::optional<std::size_t>
choose_plain(std::span<const choice_candidate> from, std::uint64_t random = 0,
             milliseconds time_to_target = milliseconds(0));

} // namespace cicadahub::routing
