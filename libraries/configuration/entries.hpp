#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <optional>

namespace cicadahub::configuration
{

/// A class of work: what its callers are promised.
struct work_class
{
    class_id id;
    /// Time from a request's arrival to its first token, or its refusal.
    milliseconds first_token_within{0};
    /// Share of requests that may be refused, in percent.
    double refusals_percent = 0;
};

struct organisation
{
    organisation_id id;
    double tokens_per_second = 0;
    token_count burst;
};

struct caller_key
{
    key_id id;
    organisation_id organisation;
    key_hash hash;
};

struct model
{
    model_id id;
    byte_count bytes;
};

/// A model's adapter; its id is "MODEL:ADAPTER".
struct adapter
{
    model_id id;
    model_id base;
    byte_count bytes;
};

/// A path to plain services that stand beside the engines.
struct service_route
{
    route_id id;
    /// Open to all: no key is asked for.
    bool is_open = false;
    /// A call may be repeated without harm.
    bool is_idempotent = false;
    class_id work_class;
};

} // namespace cicadahub::configuration
