#include "http/server.hpp"

namespace cicadahub::http
{

read_deadline::read_deadline(boost::beast::tcp_stream& stream)
    : m_stream(stream), m_timer(stream.get_executor()),
      m_state(std::make_shared<state>(state::disarmed))
{
}

void read_deadline::arm(milliseconds limit)
{
    *m_state = state::armed;
    m_timer.expires_after(limit);
    m_timer.async_wait(
        [it = m_state, &stream = m_stream](boost::system::error_code ec)
        {
            if (!ec && *it == state::armed)
            {
                *it = state::passed;
                stream.cancel();
            }
        });
}

void read_deadline::disarm()
{
    m_timer.cancel();
    if (*m_state == state::armed)
    {
        *m_state = state::disarmed;
    }
}

net::awaitable<boost::system::error_code>
read_request(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buf,
             beast_http::request_parser<beast_http::string_body>& parser,
             std::size_t header_limit, const read_deadline& deadline)
{
    using beast_http::error;
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    bool needs_more = buf.size() == 0;
    while (!parser.is_done())
    {
        // The timer cannot cancel a read that completes at once.
        if (deadline.has_passed())
        {
            co_return net::error::operation_aborted;
        }
        if (needs_more)
        {
            const std::size_t room = buf.max_size() - buf.size();
            if (room == 0)
            {
                co_return error::buffer_overflow;
            }
            auto [read_error, n] = co_await stream.async_read_some(
                buf.prepare(std::min(room, first_read_bytes)),
                net::as_tuple(net::use_awaitable));
            if (read_error)
            {
                co_return read_error;
            }
            buf.commit(n);
        }
        const bool is_head = !parser.is_header_done();
        boost::system::error_code ec;
        const std::size_t n = parser.put(buf.data(), ec);
        buf.consume(n);
        (is_head ? head_bytes : body_bytes) += n;
        needs_more = ec == error::need_more || buf.size() == 0;
        if (ec && ec != error::need_more)
        {
            co_return ec;
        }
        if (head_bytes > header_limit)
        {
            co_return error::header_limit;
        }
        // A chunk of one byte needs six bytes.
        const std::size_t framing_limit =
            request_framing_limit_bytes +
            chunk_framing_bytes_per_body_byte * parser.get().body().size();
        if (body_bytes > framing_limit)
        {
            co_return error::buffer_overflow;
        }
    }
    co_return boost::system::error_code{};
}

bool has_ambiguous_length(const request& message)
{
    return message.count(field::content_length) > 1 ||
           (message.count(field::transfer_encoding) > 0 && !message.chunked());
}

std::optional<refusal> refusal_of_read_error(boost::system::error_code ec)
{
    using beast_http::error;
    if (ec == error::end_of_stream || ec == error::partial_message ||
        ec == net::error::connection_reset || ec == net::error::eof ||
        ec == net::error::operation_aborted)
    {
        return std::nullopt;
    }
    if (ec == error::body_limit)
    {
        return refusal{refusal_kind::body_too_large};
    }
    if (ec == error::header_limit || ec == error::buffer_overflow)
    {
        return refusal{refusal_kind::headers_too_large};
    }
    return refusal{refusal_kind::malformed_request};
}

} // namespace cicadahub::http
