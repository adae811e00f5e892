#include "http/server.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

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

namespace
{

using verdict = admission::memory_account::verdict;

/// First memory of a body; later it doubles, up to the announced length.
constexpr std::size_t first_body_bytes = 16 * 1024;
/// Memory of one header field beside its text.
constexpr std::size_t field_bytes = 96;
/// How often a request that waits for memory tries again.
constexpr milliseconds memory_wait_period{200};
/// Most large requests end within a second or two.
constexpr milliseconds retry_after_memory{1'000};
constexpr unsigned first_version_with_interim_responses = 11;

/// Counts a request that waits for memory.
class memory_wait
{
public:
    explicit memory_wait(admission::memory_account& account)
        : m_account(account)
    {
        m_account.begin_wait();
    }
    ~memory_wait() { m_account.end_wait(); }
    memory_wait(const memory_wait&) = delete;
    memory_wait& operator=(const memory_wait&) = delete;

private:
    admission::memory_account& m_account;
};

/// Nothing is read while a large request waits, so that its client has to.
net::awaitable<boost::system::error_code>
wait_for_memory(guarded_connection& from, std::size_t bytes)
{
    const memory_wait waiting(*from.memory.account());
    net::steady_timer timer(from.stream.get_executor());
    while (!from.deadline.has_passed())
    {
        if (is_closed_by_peer(from.stream.socket()))
        {
            co_return net::error::connection_reset;
        }
        timer.expires_after(memory_wait_period);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        if (from.memory.ask(bytes) == verdict::taken)
        {
            co_return boost::system::error_code{};
        }
    }
    co_return response_error::over_budget;
}

/// Changes the memory of a request to this size, which it may wait for.
net::awaitable<boost::system::error_code> obtain(guarded_connection& from,
                                                 std::size_t bytes)
{
    switch (from.memory.ask(bytes))
    {
    case verdict::taken:
        co_return boost::system::error_code{};
    case verdict::waits:
        co_return co_await wait_for_memory(from, bytes);
    case verdict::refused:
        break;
    }
    co_return response_error::over_budget;
}

/// Memory of a request's head, beside the connection and its buffer.
std::size_t head_memory(const request_parser& parser, std::size_t head_bytes)
{
    const auto& head = parser.get();
    const auto fields =
        static_cast<std::size_t>(std::distance(head.begin(), head.end()));
    return head_bytes + fields * field_bytes;
}

/// Makes room for the body bytes that have been received.
net::awaitable<boost::system::error_code> grow_body(guarded_connection& from,
                                                    request_parser& parser,
                                                    std::size_t head_cost)
{
    std::string& body = parser.get().body();
    std::size_t next = std::max(first_body_bytes, 2 * body.capacity());
    if (const auto length = parser.content_length())
    {
        next = std::min<std::size_t>(next, *length);
    }
    next = std::max(next, body.size() + from.buf.size());
    const std::size_t held =
        connection_bytes + from.buf.capacity() + head_cost + next;
    const auto ec = co_await obtain(from, held);
    if (ec)
    {
        co_return ec;
    }
    // `reserve` on the body itself may allocate more than it is asked for.
    std::string grown;
    grown.reserve(next);
    grown.append(body);
    body.swap(grown);
    co_return boost::system::error_code{};
}

bool expects_continue(const guarded_connection& from,
                      const request_parser& parser)
{
    const auto& head = parser.get();
    return from.buf.size() == 0 && !parser.is_done() &&
           head.version() >= first_version_with_interim_responses &&
           boost::beast::iequals(head[field::expect], "100-continue");
}

} // namespace

guarded_connection::guarded_connection(boost::beast::tcp_stream& it,
                                       const client_guard& guard)
    : stream(it), deadline(it), memory(guard.memory), m_table(guard.connections)
{
    if (memory.resize(connection_bytes))
    {
        admit(guard);
    }
    else if (guard.on_limit)
    {
        guard.on_limit(client_limit::memory_closed);
    }
}

guarded_connection::~guarded_connection()
{
    if (m_handle)
    {
        m_table->remove(*m_handle);
    }
}

void guarded_connection::admit(const client_guard& guard)
{
    if (!m_table)
    {
        m_is_taken = true;
        return;
    }
    boost::system::error_code ec;
    const auto peer = stream.socket().remote_endpoint(ec);
    if (ec)
    {
        return;
    }
    using bound = admission::connection_table::bound;
    const auto verdict =
        m_table->admit(peer.address().to_string(), [this] { stream.close(); });
    m_handle = verdict.taken;
    m_is_taken = m_handle.has_value();
    if (verdict.reached == bound::none || !guard.on_limit)
    {
        return;
    }
    if (verdict.reached == bound::all)
    {
        guard.on_limit(m_is_taken ? client_limit::idle_closed
                                  : client_limit::connection_refused);
        return;
    }
    guard.on_limit(m_is_taken ? client_limit::address_idle_closed
                              : client_limit::address_refused);
}

void guarded_connection::set_idle()
{
    if (m_handle)
    {
        m_table->set_idle(*m_handle);
    }
}

void guarded_connection::set_busy()
{
    if (m_handle)
    {
        m_table->set_busy(*m_handle);
    }
}

void guarded_connection::release_request()
{
    if (buf.size() == 0 && buf.capacity() > first_read_bytes)
    {
        buf.shrink_to_fit();
    }
    memory.end_finish();
    memory.shrink(connection_bytes);
}

net::awaitable<boost::system::error_code> read_request(guarded_connection& from,
                                                       request_parser& parser,
                                                       std::size_t header_limit)
{
    using beast_http::error;
    constexpr auto token = net::as_tuple(net::use_awaitable);
    boost::beast::flat_buffer& buf = from.buf;
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    std::size_t head_cost = 0;
    bool needs_more = buf.size() == 0;
    while (!parser.is_done())
    {
        // The timer cannot cancel a read that completes at once.
        if (from.deadline.has_passed())
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
            const auto to = buf.prepare(std::min(room, first_read_bytes));
            const std::size_t held = connection_bytes + buf.capacity() +
                                     head_cost + parser.get().body().capacity();
            if (held != from.memory.bytes())
            {
                const auto memory_error = co_await obtain(from, held);
                if (memory_error)
                {
                    co_return memory_error;
                }
            }
            auto [read_error, n] =
                co_await from.stream.async_read_some(to, token);
            if (read_error)
            {
                co_return read_error;
            }
            buf.commit(n);
        }
        const bool is_head = !parser.is_header_done();
        const std::string& body = parser.get().body();
        if (!is_head && body.size() + buf.size() > body.capacity())
        {
            const auto grow_error = co_await grow_body(from, parser, head_cost);
            if (grow_error)
            {
                co_return grow_error;
            }
        }
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
        if (is_head && parser.is_header_done())
        {
            head_cost = head_memory(parser, head_bytes);
            const std::size_t held =
                connection_bytes + buf.capacity() + head_cost;
            const std::uint64_t length = parser.content_length().value_or(0);
            if (from.memory.refuses(held + length) || !from.memory.resize(held))
            {
                co_return response_error::over_budget;
            }
            from.set_busy();
            if (expects_continue(from, parser))
            {
                constexpr std::string_view go_on =
                    "HTTP/1.1 100 Continue\r\n\r\n";
                auto [write_error, written] = co_await net::async_write(
                    from.stream, net::buffer(go_on), token);
                if (write_error)
                {
                    co_return write_error;
                }
            }
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
    from.memory.end_finish();
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
    if (ec == response_error::over_budget)
    {
        return refusal{refusal_kind::memory_full, true, retry_after_memory};
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
