#pragma once

#include "decision/suspicion/suspect_table.hpp"
#include "entry/dialects.hpp"
#include "entry/requests/exchange_end.hpp"

#include <optional>

namespace cicadahub::entry
{

/// What a daemon that is cut off from the servers adds to a request that
/// another daemon is to forward.
struct relayed_request
{
    forwarding added;
    /// Incarnation of the server that the request is meant for.
    std::int64_t incarnation = 0;
    suspicion::fingerprint fingerprint;
    /// The request was sent to this server before.
    bool use_new_connection = false;
    /// If the server's limit withholds the request, a place is to be booked.
    bool books_place = false;
};

/// The end of a relayed exchange without a response for the caller.
struct relay_end
{
    exchange_end end = exchange_end::failed;
    /// The other daemon does not forward requests now; it has sent nothing.
    bool is_unavailable = false;
    std::string reason;
    /// The request was withheld because of the server's limit, and could be
    /// sent after this time.
    std::optional<milliseconds> limit_wait;
};

/// Head of the message to the other daemon, in which the caller's request is
/// wrapped. The caller's key is left out.
std::string relayed_head(const http::request& message,
                         const relayed_request& it);

/// True if the message wraps a caller's request.
bool is_relayed(const http::request& message);

/// Unwraps a caller's request; throws `malformed_document`.
relayed_request unwrap_relayed(http::request& message);

http::response make_relay_end(const relay_end& it);

/// Empty if the response is that of the server.
std::optional<relay_end>
read_relay_end(const http::beast_http::response_header<>& head);

} // namespace cicadahub::entry
