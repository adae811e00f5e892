#pragma once

#include "http/body_framing.hpp"
#include "http/event_splitter.hpp"
#include "http/response_reading.hpp"

#include <optional>

namespace cicadahub::http
{

/// Reads the events of a response whose head has been read. Only complete
/// events are returned, and the end of the stream only if it is complete.
class event_stream_reader
{
public:
    event_stream_reader(client_connection& server,
                        response_head_parser& parser);

    /// Waits for bytes and returns the events that they complete, valid until
    /// the next call; may be no event. Returns an empty optional after the end
    /// of a complete stream. Throws `boost::system::system_error` if the stream
    /// broke off: `partial_message` if the connection ended, `stream_error`, or
    /// a `response_error` if it exceeds its limits.
    net::awaitable<std::optional<std::string_view>> read_some();

    std::size_t partial_event_bytes() const
    {
        return m_events.partial_event_bytes();
    }

private:
    void expect_complete() const;

    client_connection& m_server;
    response_head_parser& m_parser;
    body_reader m_body;
    event_splitter m_events;
    memory_share m_memory;
};

} // namespace cicadahub::http
