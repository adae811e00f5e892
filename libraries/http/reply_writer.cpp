#include "http/reply_writer.hpp"

#include "http/message_head.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include <algorithm>

#include <poll.h>

namespace cicadahub::http
{

namespace
{

/// While unread bytes make a connection readable all the time, a close is
/// looked for this often.
constexpr milliseconds pipelined_check_period{100};
/// Time to write what is sent at or after the deadline.
constexpr milliseconds late_write_timeout{250};

} // namespace

bool is_closed_by_peer(net::ip::tcp::socket& it)
{
    pollfd found{it.native_handle(), POLLRDHUP, 0};
    return poll(&found, 1, 0) > 0 && found.revents != 0;
}

/// Looks for a close until it has no handler.
class reply_writer::caller_watch
    : public std::enable_shared_from_this<caller_watch>
{
public:
    caller_watch(net::ip::tcp::socket& socket, std::function<void()> handler)
        : m_socket(socket), m_timer(socket.get_executor()),
          m_handler(std::move(handler))
    {
    }

    void start()
    {
        m_socket.async_wait(net::ip::tcp::socket::wait_read,
                            [it = shared_from_this()](auto ec)
                            { it->on_readable(ec); });
    }

    void stop()
    {
        m_handler = nullptr;
        m_timer.cancel();
        boost::system::error_code ec;
        m_socket.cancel(ec);
    }

private:
    void on_readable(boost::system::error_code ec)
    {
        if (ec || !m_handler)
        {
            return;
        }
        if (is_closed_by_peer(m_socket))
        {
            std::exchange(m_handler, nullptr)();
            return;
        }
        // The bytes are a pipelined request, which is read after this one.
        m_timer.expires_after(pipelined_check_period);
        m_timer.async_wait([it = shared_from_this()](auto timer_ec)
                           { it->on_readable(timer_ec); });
    }

    net::ip::tcp::socket& m_socket;
    net::steady_timer m_timer;
    std::function<void()> m_handler;
};

reply_writer::reply_writer(boost::beast::tcp_stream& stream, bool keep_alive,
                           milliseconds write_timeout)
    : m_stream(stream), m_is_keep_alive(keep_alive),
      m_write_timeout(write_timeout)
{
}

reply_writer::~reply_writer()
{
    stop_watching_caller();
}

void reply_writer::limit_write_time()
{
    if (!m_deadline)
    {
        m_stream.expires_after(m_write_timeout);
        return;
    }
    m_stream.expires_after(std::max<monotonic_clock::duration>(
        *m_deadline - monotonic_clock::now(), late_write_timeout));
}

net::awaitable<void> reply_writer::send(response it)
{
    m_has_started = true;
    it.keep_alive(m_is_keep_alive);
    limit_write_time();
    const std::string head = serialize_head(it);
    if (m_is_head)
    {
        it.body().clear();
    }
    co_await net::async_write(m_stream, wire_buffers(head, it.body()),
                              net::use_awaitable);
}

net::awaitable<void> reply_writer::send(refusal it)
{
    it = without_untrue_promise(it);
    response message{static_cast<status>(status_of(it.kind)), 11};
    message.set(field::content_type, "application/problem+json");
    if (it.retry_after.count() > 0)
    {
        const auto retry_after_seconds =
            std::chrono::ceil<seconds>(it.retry_after);
        message.set(field::retry_after,
                    std::to_string(retry_after_seconds.count()));
    }
    if (it.kind == refusal_kind::unauthenticated)
    {
        message.set(field::www_authenticate, "Bearer");
    }
    message.body() = problem_document(it);
    message.prepare_payload();
    co_await send(std::move(message));
}

net::awaitable<void> reply_writer::begin_stream(status code,
                                                std::string_view content_type)
{
    response start{code, 11};
    start.set(field::content_type, content_type);
    start.set(field::cache_control, "no-cache");
    co_await begin_stream(std::move(start));
}

net::awaitable<void> reply_writer::begin_stream(response start)
{
    m_has_started = true;
    if (m_stream_framing == body_framing::until_close)
    {
        m_is_keep_alive = false;
    }
    start.chunked(m_stream_framing == body_framing::chunked);
    start.keep_alive(m_is_keep_alive);
    const std::string head = serialize_head(start);
    limit_write_time();
    co_await net::async_write(m_stream, net::buffer(head), net::use_awaitable);
}

net::awaitable<void> reply_writer::write_chunk(std::string_view data)
{
    if (m_is_head)
    {
        co_return;
    }
    limit_write_time();
    if (m_stream_framing == body_framing::until_close)
    {
        co_await net::async_write(m_stream, net::buffer(data),
                                  net::use_awaitable);
        co_return;
    }
    co_await net::async_write(
        m_stream, beast_http::make_chunk(net::buffer(data.data(), data.size())),
        net::use_awaitable);
}

net::awaitable<void> reply_writer::end_stream()
{
    if (m_is_head || m_stream_framing == body_framing::until_close)
    {
        co_return;
    }
    limit_write_time();
    co_await net::async_write(m_stream, beast_http::make_chunk_last(),
                              net::use_awaitable);
}

void reply_writer::abort_stream()
{
    m_is_keep_alive = false;
    boost::system::error_code ec;
    if (m_stream_framing == body_framing::until_close)
    {
        // Only a reset tells the caller that the close is not the stream's end;
        // a close with a linger time of zero sends one.
        m_stream.socket().set_option(net::socket_base::linger(true, 0), ec);
    }
    else
    {
        m_stream.socket().shutdown(net::ip::tcp::socket::shutdown_both, ec);
    }
    m_stream.close();
}

void reply_writer::watch_caller(std::function<void()> handler)
{
    stop_watching_caller();
    m_watch =
        std::make_shared<caller_watch>(m_stream.socket(), std::move(handler));
    m_watch->start();
}

bool reply_writer::has_caller_left()
{
    return is_closed_by_peer(m_stream.socket());
}

void reply_writer::stop_watching_caller()
{
    if (m_watch)
    {
        m_watch->stop();
        m_watch.reset();
    }
}

} // namespace cicadahub::http
