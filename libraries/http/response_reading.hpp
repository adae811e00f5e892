#pragma once

#include "http/client.hpp"

namespace cicadahub::http
{

using full_response_parser =
    beast_http::response_parser<beast_http::string_body>;

/// Reads what `parser` has not read yet of a response that is not a stream.
/// Throws `boost::system::system_error`: `partial_message` also for a JSON body
/// that only the close of the connection ended and that is not whole.
net::awaitable<void> read_full_response(client_connection& server,
                                        full_response_parser& parser);

} // namespace cicadahub::http
