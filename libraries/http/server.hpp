#pragma once

#include "core/errors.hpp"
#include "core/structured_log.hpp"
#include "http/client_guard.hpp"
#include "http/reply_writer.hpp"
#include "http/request_body.hpp"
#include "http/response_error.hpp"
#include "http/response_limits.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace cicadahub::http
{

inline constexpr std::size_t first_read_bytes = 4096;

/// HTTP/1.1; older callers cannot read chunks.
inline constexpr unsigned first_version_with_chunks = 11;

/// Pause after a connection could not be accepted, for example because no file
/// descriptor is free; until then each attempt fails at once.
inline constexpr milliseconds accept_retry_delay{50};

/// Limits of the unread input that is received and discarded after a request
/// was refused.
inline constexpr std::size_t discard_limit_bytes = 64 * 1024;
inline constexpr milliseconds discard_timeout{500};

/// Limits of chunk sizes, chunk extensions and trailers in one request, see
/// `response_limits.hpp`.
inline constexpr std::size_t request_framing_limit_bytes = 64 * 1024;

/// Memory of a connection without a request: its socket, coroutine and read
/// buffer.
inline constexpr std::size_t connection_bytes = 16 * 1024;

/// Memory of a request that is served, beside its head and body: coroutines and
/// the connection to the server.
inline constexpr std::size_t served_request_bytes = 24 * 1024;

/// Limits of one listener on the requests and connections of its clients.
struct server_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    milliseconds read_timeout{10'000};
    milliseconds idle_timeout{75'000};
    milliseconds write_timeout{30'000};
};

/// Handler of requests: `serve` writes the response to one request, or throws
/// `refused_error` to have the refusal sent.
template<class Handler>
concept request_handler = requires(Handler& handler, request& message,
                                   reply_writer& reply)
{
    {
        handler.serve(message, reply)
        } -> std::same_as<net::awaitable<void>>;
};

/// The part of a server that runs on one thread: an io_context, the handler of
/// the connections assigned to it, and the executor on which these are served.
template<request_handler Handler>
struct server_lane
{
    net::io_context& context;
    Handler& handler;
    net::any_io_executor executor = context.get_executor();
};

/// Cancels a read at its deadline without closing the connection, so that an
/// error response can still be sent.
class read_deadline
{
public:
    explicit read_deadline(boost::beast::tcp_stream& stream);
    void arm(milliseconds limit);
    void disarm();
    bool has_passed() const { return *m_state == state::passed; }

private:
    enum class state
    {
        disarmed,
        armed,
        passed,
    };

    boost::beast::tcp_stream& m_stream;
    net::steady_timer m_timer;
    /// Shared with the timer's handler, which may already be queued when the
    /// object is destroyed.
    std::shared_ptr<state> m_state;
};

/// A connection on which requests are read, within the bounds of its listener.
class guarded_connection
{
public:
    /// `it` must outlive the object.
    guarded_connection(boost::beast::tcp_stream& it, const client_guard& guard);
    ~guarded_connection();
    guarded_connection(const guarded_connection&) = delete;
    guarded_connection& operator=(const guarded_connection&) = delete;

    /// False if a bound was reached: the connection is to be closed.
    bool is_taken() const { return m_is_taken; }

    /// May be closed for a new connection, or no longer.
    void set_idle();
    void set_busy();

    /// Gives the memory of a request back.
    void release_request();

    boost::beast::tcp_stream& stream;
    boost::beast::flat_buffer buf{read_buffer_limit_bytes};
    read_deadline deadline;
    held_memory memory;

private:
    void admit(const client_guard& guard);

    std::shared_ptr<admission::connection_table> m_table;
    std::optional<admission::connection_table::handle> m_handle;
    bool m_is_taken = false;
};

/// Reads what `parser` has not read yet of a request. Returns
/// `operation_aborted` after the deadline, `header_limit` if the head is too
/// long, `buffer_overflow` if the framing of the body is, and `over_budget` if
/// there is no memory for the request.
net::awaitable<boost::system::error_code>
read_request(guarded_connection& from, request_parser& parser,
             std::size_t header_limit);

/// HTTP/1.1 server that assigns its connections to its lanes in round-robin
/// order.
template<request_handler Handler>
class server
{
public:
    using lane = server_lane<Handler>;

    /// Binds and listens immediately; throws `boost::system::system_error` on
    /// failure.
    server(const endpoint& address, server_limits limits,
           std::vector<lane> lanes, client_guard guard = {});

    void start();

    /// From now on the server closes each connection after its next response.
    /// Requests are still accepted and served.
    void begin_drain() { m_is_draining = true; }

    /// Applies to the next request of each connection. Not thread-safe: only
    /// for servers with one lane, and only on that lane's thread.
    void set_limits(server_limits limits) { m_limits = limits; }

    /// Closes the listening socket; connections that are open stay open.
    void stop_accepting();

    endpoint local_endpoint() const { return m_acceptor.local_endpoint(); }
    std::size_t busy_count() const { return m_busy.load(); }

private:
    net::awaitable<void> accept_loop();
    net::awaitable<void> session(boost::beast::tcp_stream stream,
                                 Handler& handler);
    net::awaitable<bool> serve_next(guarded_connection& from, Handler& handler);
    /// `is_head`: the request has the method HEAD.
    net::awaitable<void> refuse_and_discard(boost::beast::tcp_stream& stream,
                                            refusal it, bool is_head);
    /// Refuses a request that could not be read; frees what was read of it.
    net::awaitable<void> refuse_unread(guarded_connection& from,
                                       std::optional<request_parser>& parser,
                                       boost::system::error_code ec);
    void on_limit(client_limit it) const;

    server_limits m_limits;
    client_guard m_guard;
    std::vector<lane> m_lanes;
    net::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_is_draining{false};
    std::atomic<std::size_t> m_busy{0};
};

/// True if HTTP parsers may disagree on where the message ends, which allows
/// request smuggling: several Content-Length fields, even equal ones, or a
/// Transfer-Encoding that does not end with chunked.
bool has_ambiguous_length(const request& message);

/// Refusal to send after a read error; empty if the connection ended or the
/// read was cancelled, since no response is due then.
std::optional<refusal> refusal_of_read_error(boost::system::error_code ec);

template<request_handler Handler>
server<Handler>::server(const endpoint& address, server_limits limits,
                        std::vector<lane> lanes, client_guard guard)
    : m_limits(limits), m_guard(std::move(guard)), m_lanes(std::move(lanes)),
      m_acceptor(m_lanes.front().context)
{
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(net::socket_base::reuse_address(true));
    // Accepted sockets inherit it.
    m_acceptor.set_option(
        net::socket_base::receive_buffer_size(receive_buffer_bytes));
    m_acceptor.bind(address);
    m_acceptor.listen();
}

template<request_handler Handler>
void server<Handler>::start()
{
    net::co_spawn(m_lanes.front().context, accept_loop(), net::detached);
}

template<request_handler Handler>
void server<Handler>::stop_accepting()
{
    net::post(m_lanes.front().context,
              [this]
              {
                  boost::system::error_code ec;
                  m_acceptor.close(ec);
              });
}

template<request_handler Handler>
net::awaitable<void> server<Handler>::accept_loop()
{
    constexpr auto token = net::as_tuple(net::use_awaitable);
    std::size_t next = 0;
    while (m_acceptor.is_open())
    {
        lane& to = m_lanes[next];
        next = (next + 1) % m_lanes.size();
        net::ip::tcp::socket socket(to.executor);
        auto [ec] = co_await m_acceptor.async_accept(socket, token);
        if (!ec)
        {
            boost::beast::tcp_stream stream(std::move(socket));
            net::co_spawn(to.executor, session(std::move(stream), to.handler),
                          net::detached);
        }
        else if (m_acceptor.is_open())
        {
            net::steady_timer timer(m_lanes.front().context,
                                    accept_retry_delay);
            co_await timer.async_wait(token);
        }
    }
}

template<request_handler Handler>
net::awaitable<void> server<Handler>::session(boost::beast::tcp_stream stream,
                                              Handler& handler)
{
    boost::system::error_code ec;
    stream.socket().set_option(net::ip::tcp::no_delay(true), ec);
    guarded_connection from(stream, m_guard);
    if (!from.is_taken())
    {
        co_return;
    }
    try
    {
        while (co_await serve_next(from, handler))
        {
        }
    }
    catch (const boost::system::system_error&)
    {
        // The connection failed, so that no response can be sent.
    }
    stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, ec);
}

/// Counts a request as in progress from its first byte to the end of its
/// response.
class busy_guard
{
public:
    explicit busy_guard(std::atomic<std::size_t>& count) : m_count(count)
    {
        ++m_count;
    }
    ~busy_guard() { --m_count; }
    busy_guard(const busy_guard&) = delete;
    busy_guard& operator=(const busy_guard&) = delete;

private:
    std::atomic<std::size_t>& m_count;
};

template<request_handler Handler>
void server<Handler>::on_limit(client_limit it) const
{
    if (m_guard.on_limit)
    {
        m_guard.on_limit(it);
    }
}

template<request_handler Handler>
net::awaitable<void>
server<Handler>::refuse_unread(guarded_connection& from,
                               std::optional<request_parser>& parser,
                               boost::system::error_code ec)
{
    const bool has_passed = from.deadline.has_passed();
    const bool is_head =
        parser->is_header_done() && parser->get().method() == verb::head;
    parser.reset();
    from.release_request();
    const bool is_over_budget = ec == response_error::over_budget;
    const auto reason =
        has_passed && !is_over_budget
            ? std::optional(refusal{refusal_kind::request_timeout})
            : refusal_of_read_error(ec);
    if (!reason)
    {
        co_return;
    }
    if (is_over_budget)
    {
        on_limit(has_passed ? client_limit::memory_timeout
                            : client_limit::memory_refused);
    }
    else
    {
        log_event(severity::warning, event_number::request_not_read,
                  {{"reason", name_of(reason->kind)}, {"error", ec.message()}});
    }
    if (m_guard.on_refusal)
    {
        m_guard.on_refusal(reason->kind);
    }
    co_await refuse_and_discard(from.stream, *reason, is_head);
}

template<request_handler Handler>
net::awaitable<bool> server<Handler>::serve_next(guarded_connection& from,
                                                 Handler& handler)
{
    constexpr auto token = net::as_tuple(net::use_awaitable);
    boost::beast::tcp_stream& stream = from.stream;
    std::optional<request_parser> parser(std::in_place);
    parser->header_limit(m_limits.header_bytes);
    parser->body_limit(m_limits.body_bytes);
    from.release_request();
    from.buf.max_size(std::max(read_buffer_limit_bytes,
                               m_limits.header_bytes + first_read_bytes));
    from.set_idle();
    if (from.buf.size() == 0)
    {
        stream.expires_after(m_limits.idle_timeout);
        auto [ec, n] = co_await stream.async_read_some(
            from.buf.prepare(first_read_bytes), token);
        if (ec)
        {
            co_return false;
        }
        from.buf.commit(n);
    }
    busy_guard guard(m_busy);
    stream.expires_never();
    from.deadline.arm(m_limits.read_timeout);
    auto ec = co_await read_request(from, *parser, m_limits.header_bytes);
    from.deadline.disarm();
    if (!ec && !from.memory.resize(from.memory.bytes() + served_request_bytes))
    {
        ec = response_error::over_budget;
    }
    if (ec)
    {
        co_await refuse_unread(from, parser, ec);
        co_return false;
    }
    auto read = parser->release();
    request message(std::move(read.base()), std::move(read.body()));
    if (has_ambiguous_length(message))
    {
        co_await refuse_and_discard(stream,
                                    refusal{refusal_kind::malformed_request},
                                    message.method() == verb::head);
        co_return false;
    }
    const bool keep_alive = message.keep_alive() && !m_is_draining;
    reply_writer reply(stream, keep_alive, m_limits.write_timeout);
    reply.set_is_head(message.method() == verb::head);
    if (message.version() < first_version_with_chunks)
    {
        reply.set_stream_framing(body_framing::until_close);
    }
    std::optional<refusal> refused;
    try
    {
        co_await handler.serve(message, reply);
    }
    catch (const refused_error& it)
    {
        refused = it.reason();
    }
    catch (const malformed_document&)
    {
        refused = refusal{refusal_kind::malformed_request};
    }
    if (refused && reply.has_started())
    {
        reply.abort_stream();
        co_return false;
    }
    if (refused)
    {
        co_await reply.send(*refused);
    }
    co_return reply.is_keep_alive();
}

template<request_handler Handler>
net::awaitable<void>
server<Handler>::refuse_and_discard(boost::beast::tcp_stream& stream,
                                    refusal it, bool is_head)
{
    reply_writer reply(stream, false, m_limits.write_timeout);
    reply.set_is_head(is_head);
    co_await reply.send(it);
    boost::system::error_code ec;
    // Closing a socket with unread input sends a reset, which can discard the
    // response before the caller has read it.
    stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, ec);
    std::array<char, first_read_bytes> discarded{};
    std::size_t left = discard_limit_bytes;
    stream.expires_after(discard_timeout);
    while (left > 0)
    {
        constexpr auto token = net::as_tuple(net::use_awaitable);
        auto [read_error, n] =
            co_await stream.async_read_some(net::buffer(discarded), token);
        if (read_error)
        {
            break;
        }
        left -= std::min(left, n);
    }
}

} // namespace cicadahub::http
