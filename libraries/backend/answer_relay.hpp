#pragma once

#include "http/client.hpp"
#include "http/reply_writer.hpp"

#include <optional>

namespace cicadahub::backend
{

namespace net = boost::asio;

/// How an exchange with a backend server ended.
enum class relay_end
{
    /// The caller has the whole answer.
    complete,
    /// No byte of the request has gone out.
    not_sent,
    /// The server says that it does not have the model: it ran nothing.
    model_not_loaded,
    /// The server is too busy: it ran nothing.
    server_busy,
    /// The connection failed before any byte of an answer came.
    failed_before_answer,
    /// The answer broke off, or a gap in it was too long.
    interrupted,
    /// The caller has gone; the server's work was cancelled.
    caller_disconnected,
    /// The request was ended from outside, as by a withdrawn key.
    cancelled,
};

struct relay_result
{
    relay_end end = relay_end::not_sent;
    unsigned status = 0;
    std::int64_t tokens = 0;
    std::optional<time_point> first_token_at;
    /// The connection had served an exchange before, so that its failure says
    /// nothing of the server.
    bool was_reused = false;
    /// The server ended the connection after bytes of the request had gone to
    /// it, as when its process dies.
    bool is_connection_lost = false;
    /// The whole answer, if it was asked to be kept rather than sent.
    std::optional<http::response> buffered_answer;
};

struct relay_limits
{
    /// Longest silence within a streamed answer.
    milliseconds gap{5'000};
    /// Longest wait for the answer's head, and for a whole answer.
    milliseconds answer{300'000};
};

enum class backend_kind
{
    /// Its 404, 429 and 503 say that the request did not run.
    engine,
    /// Its answers are the caller's business, whatever they say.
    plain_service,
};

/// Carries one request to a backend server and its answer back to the caller,
/// as it comes. A stream that breaks off is never made to look complete.
class answer_relay
{
public:
    answer_relay(http::client_pool& pool, relay_limits limits,
                 backend_kind kind);

    /// Sends `message` and its answer to `reply` as it comes.
    net::awaitable<relay_result> run(const http::endpoint& address,
                                     const http::request& message,
                                     http::reply_writer& reply,
                                     bool use_new_connection);

    /// Ends the exchange from outside.
    void cancel();

    /// Keeps a whole answer in the result instead of sending it.
    void buffer_answer() { m_is_buffering_answer = true; }

private:
    using connection = http::client_connection;

    net::awaitable<void> relay_head(connection& server,
                                    http::reply_writer& reply);
    net::awaitable<void> relay_non_streamed(connection& server,
                                            http::reply_writer& reply);
    net::awaitable<void> relay_stream(connection& server,
                                      http::reply_writer& reply);
    static void close(connection& server);
    bool has_not_run(http::status code);

    http::client_pool& m_pool;
    relay_limits m_limits;
    backend_kind m_kind;
    relay_result m_result;
    bool m_is_buffering_answer = false;
    bool m_is_cancelled = false;
    bool m_is_caller_disconnected = false;
    bool m_is_writing_to_caller = false;
    bool m_can_reuse = false;
    connection* m_connection = nullptr;
    std::optional<
        http::beast_http::response_parser<http::beast_http::buffer_body>>
        m_parser;
};

} // namespace cicadahub::backend
