#pragma once

#include "core/refusal.hpp"
#include "http/body_framing.hpp"

#include <functional>
#include <optional>

namespace cicadahub::http
{

/// True if the peer has closed or reset the connection. A read finds that only
/// behind all unread bytes.
bool is_closed_by_peer(net::ip::tcp::socket& it);

/// Writes the response to one request, either complete or as a stream. Streams
/// are chunked or, for callers that do not know chunks, end with the
/// connection.
class reply_writer
{
public:
    reply_writer(boost::beast::tcp_stream& stream, bool keep_alive,
                 milliseconds write_timeout);
    ~reply_writer();
    reply_writer(const reply_writer&) = delete;
    reply_writer& operator=(const reply_writer&) = delete;

    /// The request has the method HEAD: only heads of responses are sent (RFC
    /// 9110, section 9.3.2). A body would be read as the next response.
    void set_is_head(bool it) { m_is_head = it; }

    /// Sends a complete response, head and body.
    net::awaitable<void> send(response it);

    /// Sends a refusal as an RFC 9457 problem document.
    net::awaitable<void> send(refusal it);

    /// Sets the framing of a stream that has not begun: `chunked`, the default,
    /// or `until_close`.
    void set_stream_framing(body_framing it) { m_stream_framing = it; }

    /// Sends the head of a stream.
    net::awaitable<void> begin_stream(status code,
                                      std::string_view content_type);

    /// Sends the head of a stream with the status and fields of `start`.
    net::awaitable<void> begin_stream(response start);

    /// Sends bytes of the stream.
    net::awaitable<void> write_chunk(std::string_view data);

    /// Sends the terminating chunk, if the stream is chunked. A chunked stream
    /// without it is truncated.
    net::awaitable<void> end_stream();

    /// Closes the connection without the terminating chunk, or resets it, so
    /// that the caller detects that the stream is truncated.
    void abort_stream();

    /// Calls `handler` at most once, when the caller closes the connection
    /// before `stop_watching_caller` is called.
    void watch_caller(std::function<void()> handler);

    void stop_watching_caller();

    /// True if the caller has closed or reset the connection. The watch tells
    /// it only once its handler gets its turn.
    bool has_caller_left();

    /// Later writes fail from this moment on, instead of after the time limit
    /// of each. One that begins late gets a moment more, so that a caller still
    /// learns how its request ended.
    void set_deadline(time_point it) { m_deadline = it; }

    bool has_started() const { return m_has_started; }
    bool is_keep_alive() const { return m_is_keep_alive; }

private:
    class caller_watch;

    void limit_write_time();

    boost::beast::tcp_stream& m_stream;
    bool m_is_keep_alive;
    bool m_is_head = false;
    milliseconds m_write_timeout;
    std::optional<time_point> m_deadline;
    bool m_has_started = false;
    body_framing m_stream_framing = body_framing::chunked;
    std::shared_ptr<caller_watch> m_watch;
};

} // namespace cicadahub::http
