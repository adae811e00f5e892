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
