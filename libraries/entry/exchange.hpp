#pragma once

#include "entry/dialects.hpp"
#include "http/client.hpp"
#include "http/reply_writer.hpp"

#include <optional>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// How an exchange with a backend server ended.
enum class exchange_end
{
    /// The caller has the whole stream.
    streamed,
    /// A whole answer is in the result, for the caller.
    answered,
    /// No byte of the request has gone out.
    not_sent,
    /// The server says that it has not run the request.
    turned_away,
    not_here,
    /// Bytes went out, and no answer that can be used came: it may have run.
    failed,
    /// The time for the request is over.
    out_of_time,
    caller_gone,
};

std::string_view name_of(exchange_end it);

/// What the caller has of a stream, over all servers that made parts of it.
struct stream_progress
{
    bool has_head = false;
    std::optional<std::string> last_event;
    std::optional<time_point> first_event_at;
};

struct exchange_result
{
    exchange_end end = exchange_end::not_sent;
    std::optional<http::response> answer;
    std::optional<server_load> load;
    /// The server ended the connection while it had the request, as when its
    /// process dies.
    bool is_connection_lost = false;
    std::string reason;
};

/// Carries one request to one backend server and its answer back. A stream is
/// handed on event by event, never a part of one, and never made to look
/// complete when it is not.
class exchange
{
public:
    exchange(http::client_pool& pool, const server_dialect& dialect);

    /// `time_limit` covers the whole exchange.
    net::awaitable<exchange_result>
    run(const http::endpoint& address, const http::request& message,
        const forwarding& added, const request_id& id,
        http::reply_writer& reply, stream_progress& progress,
        time_point time_limit);

    /// The caller has gone: ends the server's work.
    void cancel();

private:
    using connection = http::client_connection;
    using head_parser =
        http::beast_http::response_parser<http::beast_http::buffer_body>;

    net::awaitable<void> send(connection& server, const http::request& message,
                              const forwarding& added);
    net::awaitable<void> receive(connection& server, const request_id& id,
                                 http::reply_writer& reply,
                                 stream_progress& progress);
    net::awaitable<http::response> read_full_response(connection& server);
    net::awaitable<void> relay_stream(connection& server,
                                      http::reply_writer& reply,
                                      stream_progress& progress);
    net::awaitable<void> forward_events(std::string_view events,
                                        http::reply_writer& reply,
                                        stream_progress& progress);
    void set_timeout(connection& server);
    void release_connection(const http::endpoint& address,
                            http::client_pool::connection_pointer server);

    http::client_pool& m_pool;
    const server_dialect& m_dialect;
    exchange_result m_result;
    std::optional<head_parser> m_parser;
    time_point m_time_limit{};
    connection* m_connection = nullptr;
    bool m_is_cancelled = false;
    bool m_is_writing_to_caller = false;
    bool m_has_sent = false;
    bool m_can_reuse = false;
};

} // namespace cicadahub::entry
