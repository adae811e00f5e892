#pragma once

#include "core/units.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace cicadahub
{

/// Every way in which a request can end without its answer.
enum class refusal_kind
{
    malformed_request,
    request_timeout,
    body_too_large,
    headers_too_large,
    method_not_allowed,
    unauthenticated,
    key_in_body,
    unknown_path,
    unknown_model,
    unknown_route,
    unknown_class,
    over_rate,
    queue_full,
    target_unreachable,
    no_capacity,
    load_failed,
    not_ready,
    key_withdrawn,
    suspect_request,
    request_running,
    key_reused,
    backend_failed,
    outcome_unknown,
    conflict,
    platform_unavailable,
};

inline constexpr std::size_t refusal_kind_count =
    static_cast<std::size_t>(refusal_kind::platform_unavailable) + 1;

/// A refusal as it is told to the caller.
struct refusal
{
    refusal_kind kind;
    /// True only if no byte of the request has gone to a backend server.
    bool is_not_run = true;
    /// When to come back; zero when coming back does not help.
    milliseconds retry_after{0};
};

/// Name of the refusal, as used in problem types and metric labels.
std::string_view name_of(refusal_kind kind);

/// HTTP status of the refusal.
unsigned status_of(refusal_kind kind);

/// RFC 9457 problem document of the refusal.
std::string problem_document(const refusal& it);

} // namespace cicadahub
