#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "decision/quota/types.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadahub::serving
{

/// How often a request may run.
enum class request_kind
{
    /// May run more than once.
    repeatable,
    /// Runs at most once.
    once,
    /// Answered by a stream of events. May be resumed after the last event that
    /// was delivered, but only if the route is resumable.
    stream,
};

struct service_share
{
    service_id service;
    std::uint32_t weight = 1;
};

/// Requests that share their limits and latency targets and go to the same
/// services.
struct route
{
    route_id name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::once;
    milliseconds timeout{0};
    milliseconds target_latency{0};
    milliseconds target_gap{0};
    /// How long a caller waits for the first byte of the answer.
    milliseconds first_byte_timeout{0};
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// Empty, or without weight, for a route that leads nowhere.
    std::vector<service_share> services;
    std::uint32_t max_attempts = 1;
    bool is_public = false;
    bool is_resumable = false;
    /// Empty if there is no restriction.
    std::optional<std::set<region_id>> allowed_regions;
};

struct model_spec
{
    double megabytes = 0;
    milliseconds load_from_store{0};
    milliseconds load_from_disk{0};
    milliseconds load_from_memory{0};
    double adapter_megabytes = 0;
};

/// Properties that all engines of a service have in common.
struct engine_spec
{
    std::uint32_t slots = 1;
    std::int64_t cache_tokens = 0;
    /// Memory for weights and adapters together.
    double megabytes = 0;
    std::uint32_t adapter_slots = 0;
    double store_loads_per_second = 0;
    std::map<model_id, model_spec> models;
};

struct service
{
    service_id name;
    std::uint32_t connection_limit = 0;
    /// None for a plain service, which has no engines.
    std::optional<engine_spec> engine;
    /// Time for which a server is cold after a start while there is traffic.
    milliseconds cold_start{0};
    /// Requests a second that a cold server takes from all hosts together;
    /// empty if it takes any number.
    std::optional<double> cold_requests_per_second;
};

struct organisation
{
    organisation_id name;
    /// None if the organisation has no rate limit.
    std::optional<quota::rate_limit> rate;
    /// Tokens charged for a request that states no token counts.
    std::int64_t plain_cost = 1;
    /// False if every request is charged as one token.
    bool counts_tokens = false;
    /// Overrides the priority of the route.
    std::optional<std::int64_t> priority;
    /// Binding beside those of the route; empty if there is no restriction.
    std::optional<std::set<region_id>> allowed_regions;
};

struct caller_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    milliseconds read_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One version of the whole configuration that operators set; immutable.
struct configuration
{
    std::uint64_t version = 0;
    /// Version of the object in the platform's store.
    object_version revision;
    std::vector<route> routes;
    std::map<service_id, service> services;
    std::map<organisation_id, organisation> organisations;
    std::unordered_map<key_hash, organisation_id> keys;
    /// False only if the configuration says nothing of organisations. One that
    /// names none lets nobody in, except on public routes.
    bool requires_key = true;
    caller_limits limits;

    /// Returns the route of `host` with the longest path prefix that matches;
    /// null if there is none.
    const route* find_route(std::string_view host, std::string_view path) const;
    const service* find_service(const service_id& name) const;
    /// True if any service has a rate for cold servers.
    bool has_cold_rates() const;
    /// True if any route or organisation has allowed regions.
    bool has_allowed_regions() const;
    const organisation* find_organisation(const key_hash& key) const;
};

} // namespace cicadahub::serving
