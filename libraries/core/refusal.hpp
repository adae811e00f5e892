#pragma once

#include "core/units.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace cicadahub
{

/// Reasons for which a request can fail.
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
    memory_full,
};

inline constexpr std::size_t refusal_kind_count =
    static_cast<std::size_t>(refusal_kind::memory_full) + 1;

/// An error response to the caller.
struct refusal
{
    refusal_kind kind;
    /// True only if no backend server executes the request or has executed it,
    /// so that the caller can safely repeat it.
    bool is_not_run = true;
    /// Time after which the caller may retry; zero if a retry cannot succeed.
    milliseconds retry_after{0};
};

/// Name of the refusal, as used in problem types and metric labels.
std::string_view name_of(refusal_kind kind);

/// HTTP status of the refusal.
unsigned status_of(refusal_kind kind);

/// True for the statuses that promise a caller that its request has not been
/// executed and will not be, so that it may safely repeat it.
bool promises_not_run(unsigned status);

/// The refusal to send instead: `outcome_unknown` if the status would promise
/// that the request was not executed although it may have been.
refusal without_untrue_promise(refusal it);

/// RFC 9457 problem document of the refusal.
std::string problem_document(const refusal& it);

} // namespace cicadahub
