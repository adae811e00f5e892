#pragma once

#include "http/client.hpp"
#include "http/memory_budget.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace cicadahub::http
{

using response_head_parser =
    beast_http::response_parser<beast_http::buffer_body>;

/// Reads the head of the response to a request with `method` and creates the
/// parser of that response. Interim responses (1xx) are skipped. Throws
/// `boost::system::system_error`, with a `response_error` if the head exceeds
/// its limits or its status is not valid.
net::awaitable<void>
read_response_head(client_connection& server,
                   std::optional<response_head_parser>& parser, verb method);

/// Reads some more bytes of a body into the parser's buffer. Throws
/// `boost::system::system_error`: `timeout` after the deadline of the
/// connection even if bytes are always ready, and a `response_error` if the
/// framing exceeds its limits.
class body_reader
{
public:
    body_reader(client_connection& server, response_head_parser& parser);

    /// Bytes of the body that were read, valid until the next call.
    net::awaitable<std::string_view> read_some();

private:
    static constexpr std::size_t buffer_bytes = 16 * 1024;

    client_connection& m_server;
    response_head_parser& m_parser;
    std::array<char, buffer_bytes> m_buf{};
    std::uint64_t m_body_bytes = 0;
    std::uint64_t m_framing_bytes = 0;
};

/// A response and the memory that its body holds.
struct full_response
{
    response message;
    std::shared_ptr<memory_share> memory;
};

/// Reads the body of a response that is not a stream. Throws
/// `boost::system::system_error`: `partial_message` also for a body that only
/// the close of the connection ended, if it is JSON that is not whole, or if
/// the server closed before it had received the request; and a `response_error`
/// if the body exceeds its limits.
net::awaitable<full_response> read_full_response(client_connection& server,
                                                 response_head_parser& parser);

} // namespace cicadahub::http
