#include "http/event_stream_reader.hpp"

#include "http/stream_error.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadahub::http
{

event_stream_reader::event_stream_reader(client_connection& server,
                                         response_parser& parser)
    : m_server(server), m_parser(parser)
{
}

void event_stream_reader::expect_complete() const
{
    const bool is_until_close =
        framing_of(m_parser) == body_framing::until_close;
    // The close of a connection marks the end of a complete body and of one
    // that broke off. Only a complete event in front of it tells them apart.
    if (is_until_close && (partial_event_bytes() > 0 || !m_events.has_events()))
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
    m_parser.get().body().data = m_buf.data();
    m_parser.get().body().size = m_buf.size();
    auto [ec, n] = co_await beast_http::async_read_some(
        m_server.stream, m_server.buf, m_parser,
        net::as_tuple(net::use_awaitable));
    if (ec && ec != beast_http::error::need_buffer)
    {
        throw boost::system::system_error(ec);
    }
    const std::size_t received = m_buf.size() - m_parser.get().body().size;
    co_return m_events.add(std::string_view(m_buf.data(), received));
}

} // namespace cicadahub::http
