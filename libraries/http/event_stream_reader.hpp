#pragma once

#include "http/body_framing.hpp"
#include "http/client.hpp"
#include "http/event_splitter.hpp"

#include <array>
#include <optional>

namespace cicadahub::http
{

/// Reads the events of a response whose head has been read. Only complete
/// events are returned, and the end of the stream only if it is complete.
class event_stream_reader
{
public:
    using response_parser =
        beast_http::response_parser<beast_http::buffer_body>;

    event_stream_reader(client_connection& server, response_parser& parser);

    /// Waits for bytes and returns the events that they complete, valid until
    /// the next call; may be no event. Returns an empty optional after the end
    /// of a complete stream. Throws `boost::system::system_error` if the stream
    /// broke off: `partial_message` if the connection ended, or `stream_error`.
    net::awaitable<std::optional<std::string_view>> read_some();

    std::size_t partial_event_bytes() const
    {
        return m_events.partial_event_bytes();
    }

private:
    static constexpr std::size_t buffer_bytes = 16 * 1024;

    void expect_complete() const;

    client_connection& m_server;
    response_parser& m_parser;
    event_splitter m_events;
    std::array<char, buffer_bytes> m_buf{};
};

} // namespace cicadahub::http
