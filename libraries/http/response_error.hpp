#pragma once

#include <boost/system/error_code.hpp>

namespace cicadahub::http
{

/// Faults of a response: limits that it exceeded, see `response_limits`, or a
/// status that is none.
enum class response_error
{
    head_too_long = 1,
    too_many_interim_responses,
    body_too_long,
    event_too_long,
    /// Chunk sizes, chunk extensions or trailers.
    framing_too_long,
    /// The memory for all responses of the host is used up.
    over_budget,
    /// Outside of 100 to 599 (RFC 9110, section 15), or a change of the
    /// protocol, for which no request asks.
    invalid_status,
};

boost::system::error_code make_error_code(response_error it);

/// True for a fault of the bytes that a server sent: a `response_error`, or a
/// response that is no HTTP. The server is alive then.
bool is_bad_response(const boost::system::error_code& it);

} // namespace cicadahub::http

template<>
struct boost::system::is_error_code_enum<cicadahub::http::response_error>
    : std::true_type
{
};
