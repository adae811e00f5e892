#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <optional>

namespace cicadahub::configuration
{

/// A class of work and its service levels.
struct work_class
{
    class_id id;
    /// Target for the time from a request's arrival to its first token or to
    /// its refusal.
    milliseconds first_token_within{0};
    /// Maximum share of requests that may be refused, in percent.
    double refusals_percent = 0;
};

/// An organisation and its rate limit, a token bucket.
struct organisation
{
    organisation_id id;
    double tokens_per_second = 0;
    token_count burst;
};

/// An API key of an organisation's callers.
struct caller_key
{
    key_id id;
    organisation_id organisation;
    key_hash hash;
};

struct model
{
    model_id id;
    /// Size of the weights.
    byte_count bytes;
};

/// A model's adapter; its id is "MODEL:ADAPTER".
struct adapter
{
    model_id id;
    model_id base;
    byte_count bytes;
};

/// A route to plain backend services, which are not inference engines.
struct service_route
{
    route_id id;
    /// True if the route requires no API key.
    bool is_open = false;
    /// True if a request may safely be retried.
    bool is_idempotent = false;
    class_id work_class;
};

} // namespace cicadahub::configuration
