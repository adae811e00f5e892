#include "core/refusal.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstddef>

namespace cicadahub
{

namespace
{

struct refusal_row
{
    refusal_kind kind;
    std::string_view name;
    std::string_view title;
    unsigned status;
};

constexpr std::array refusal_rows{
    refusal_row{refusal_kind::malformed_request, "malformed-request",
                "The request is not well formed.", 400},
    refusal_row{refusal_kind::request_timeout, "request-timeout",
                "The request did not arrive whole in time.", 408},
    refusal_row{refusal_kind::body_too_large, "body-too-large",
                "The body is over the limit.", 413},
    refusal_row{refusal_kind::headers_too_large, "headers-too-large",
                "The header fields are over the limit.", 431},
    refusal_row{refusal_kind::method_not_allowed, "method-not-allowed",
                "The path does not take this method.", 405},
    refusal_row{refusal_kind::unauthenticated, "unauthenticated",
                "No valid key came with the request.", 401},
    refusal_row{refusal_kind::key_in_body, "key-in-body",
                "The body repeats the caller's key.", 400},
    refusal_row{refusal_kind::unknown_path, "unknown-path",
                "There is nothing at this path.", 404},
    refusal_row{refusal_kind::unknown_model, "unknown-model",
                "No such model is configured.", 404},
    refusal_row{refusal_kind::unknown_route, "unknown-route",
                "No such service is configured.", 404},
    refusal_row{refusal_kind::unknown_class, "unknown-class",
                "No such class of work is configured.", 400},
    refusal_row{refusal_kind::over_rate, "over-rate",
                "The organisation is over its rate.", 429},
    refusal_row{refusal_kind::queue_full, "queue-full",
                "Too many requests are waiting.", 503},
    refusal_row{refusal_kind::target_unreachable, "target-unreachable",
                "The answer would come after the target of its class.", 503},
    refusal_row{refusal_kind::no_capacity, "no-capacity",
                "No backend server can take the request.", 503},
    refusal_row{refusal_kind::load_failed, "load-failed",
                "The model could not be loaded.", 503},
    refusal_row{refusal_kind::not_ready, "not-ready",
                "The daemon is starting or stopping.", 503},
    refusal_row{refusal_kind::key_withdrawn, "key-withdrawn",
                "The key was withdrawn.", 401},
    refusal_row{refusal_kind::suspect_request, "suspect-request",
                "The request crashed the servers that ran it.", 422},
    refusal_row{refusal_kind::request_running, "request-running",
                "The same request is still running.", 409},
    refusal_row{refusal_kind::key_reused, "key-reused",
                "The idempotency key belongs to another request.", 422},
    refusal_row{refusal_kind::backend_failed, "backend-failed",
                "The backend server failed while it ran the request.", 502},
    refusal_row{refusal_kind::outcome_unknown, "outcome-unknown",
                "Whether the request has run is not known.", 504},
    refusal_row{refusal_kind::conflict, "conflict",
                "The object has changed since it was read.", 409},
    refusal_row{refusal_kind::platform_unavailable, "platform-unavailable",
                "The platform's object API does not answer.", 503},
    refusal_row{refusal_kind::memory_full, "memory-full",
                "The daemon has no memory for the request.", 503},
};

constexpr unsigned request_timeout_status = 408;
constexpr unsigned misdirected_request_status = 421;
constexpr unsigned too_many_requests_status = 429;
constexpr unsigned service_unavailable_status = 503;

const refusal_row& row_of(refusal_kind kind)
{
    return refusal_rows.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string_view name_of(refusal_kind kind)
{
    return row_of(kind).name;
}

unsigned status_of(refusal_kind kind)
{
    return row_of(kind).status;
}

bool promises_not_run(unsigned status)
{
    return status == request_timeout_status ||
           status == misdirected_request_status ||
           status == too_many_requests_status ||
           status == service_unavailable_status;
}

refusal without_untrue_promise(refusal it)
{
    if (!it.is_not_run && promises_not_run(status_of(it.kind)))
    {
        it.kind = refusal_kind::outcome_unknown;
    }
    return it;
}

std::string problem_document(const refusal& it)
{
    const refusal_row& row = row_of(it.kind);
    boost::json::object doc;
    doc["type"] = "urn:cicadahub:problem:" + std::string(row.name);
    doc["title"] = row.title;
    doc["status"] = row.status;
    doc["not_run"] = it.is_not_run;
    if (it.retry_after.count() > 0)
    {
        doc["retry_after_ms"] = it.retry_after.count();
    }
    return boost::json::serialize(doc);
}

} // namespace cicadahub
