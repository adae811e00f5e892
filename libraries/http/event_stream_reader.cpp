#include "http/event_stream_reader.hpp"

#include "http/request_delivery.hpp"
#include "http/response_error.hpp"
#include "http/stream_error.hpp"

#include <boost/asio/use_awaitable.hpp>

namespace cicadahub::http
{

event_stream_reader::event_stream_reader(client_connection& server,
                                         response_head_parser& parser)
    : m_server(server), m_parser(parser), m_body(server, parser),
      m_memory(server.budget)
{
}

void event_stream_reader::expect_complete() const
{
    const bool is_until_close =
        framing_of(m_parser) == body_framing::until_close;
    // The close of a connection marks the end of a complete body and of one
    // that broke off. Only a complete event in front of it tells them apart,
    // and whether the server had received the request by then.
    if (is_until_close &&
        (partial_event_bytes() > 0 || !m_events.has_events() ||
         !has_delivered_all(m_server)))
    {
        throw boost::system::system_error(beast_http::error::partial_message);
    }
    if (partial_event_bytes() > 0)
    {
        throw boost::system::system_error(stream_error::ends_inside_event);
    }
}

net::awaitable<std::optional<std::string_view>> event_stream_reader::read_some()
{
    if (m_parser.is_done())
    {
        expect_complete();
        co_return std::nullopt;
    }
    const std::string_view bytes = co_await m_body.read_some();
    const std::string_view events = m_events.add(bytes);
    if (partial_event_bytes() > m_server.limits.event_bytes)
    {
        throw boost::system::system_error(response_error::event_too_long);
    }
    m_memory.resize(m_events.held_bytes());
    co_return events;
}

} // namespace cicadahub::http
