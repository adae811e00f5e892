#pragma once

#include "decision/outcome/backend_response.hpp"
#include "http/client.hpp"
#include "http/reply_writer.hpp"
#include "http/response_reading.hpp"

#include <optional>

namespace cicadahub::backend
{

namespace net = boost::asio;

/// Header that names a request; servers may repeat it in their response.
inline constexpr std::string_view request_id_header = "X-Request-Id";

/// How an exchange with a backend server ended.
enum class relay_end
{
    /// The complete answer was relayed to the caller, or buffered.
    complete,
    /// No byte of the request was sent.
    not_sent,
    /// The server answered that it does not have the model; the request did
    /// not run.
    model_not_loaded,
    /// The server answered that it is too busy; the request did not run.
    server_busy,
    /// No answer to the request was received: the connection failed before its
    /// head was read, or the response is not shown to be the request's, or its
    /// status would promise without proof that the request did not run.
    failed_before_answer,
    /// The answer ended early, or a gap in it exceeded the limit.
    interrupted,
    /// The caller disconnected; the server's connection was closed, which
    /// cancels its work.
    caller_disconnected,
    /// The request was cancelled, for example because its key was withdrawn.
    cancelled,
};

std::string_view name_of(relay_end it);

struct relay_result
{
    relay_end end = relay_end::not_sent;
    /// Of the response; the status is 0 if no head of one was received. After
    /// earlier exchanges a failure may be due to a stale connection and says
    /// nothing about the server.
    outcome::backend_response_facts response;
    std::int64_t tokens = 0;
    std::optional<time_point> first_token_at;
    /// The server closed the connection while the request was being sent or
    /// answered, as when its process dies.
    bool is_connection_lost = false;
    /// The complete answer, if it was buffered rather than sent to the caller.
    std::optional<http::response> buffered_answer;
};

struct relay_limits
{
    /// Longest silence within a streamed answer.
    milliseconds gap{5'000};
    /// Longest wait for the answer's head, and for a complete answer that is
    /// not streamed.
    milliseconds answer{300'000};
};

/// How one request is sent.
struct send_options
{
    bool use_new_connection = false;
    /// No other request has the id of this one.
    bool has_unique_id = false;
};

enum class backend_kind
{
    /// A status of 404, 429 or 503 means that the request did not run.
    engine,
    /// No status means that the request did not run.
    plain_service,
};

/// Sends one request to a backend server and relays the answer to the caller as
/// it arrives. A stream that ends early is never terminated as if complete.
class answer_relay
{
public:
    answer_relay(http::client_pool& pool, relay_limits limits,
                 backend_kind kind);

    /// Sends `message` to the server and relays its answer to `reply`.
    net::awaitable<relay_result> run(const http::endpoint& address,
                                     const http::request& message,
                                     http::reply_writer& reply,
                                     send_options how);

    /// Cancels the exchange by closing the connection to the server.
    void cancel();

    /// Puts an answer that is not streamed in the result instead of sending it.
    void buffer_answer() { m_is_buffering_answer = true; }

private:
    using connection = http::client_connection;

    net::awaitable<void> relay_head(connection& server,
                                    http::reply_writer& reply,
                                    http::verb method);
    void read_facts(const http::beast_http::response_header<>& head);
    /// Ends an exchange whose response is not relayed.
    void end_without_answer(outcome::response_meaning meaning);
    net::awaitable<void> relay_non_streamed(connection& server,
                                            http::reply_writer& reply);
    net::awaitable<void> relay_stream(connection& server,
                                      http::reply_writer& reply);
    static void close(connection& server);
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
    /// Id of the request, as sent to the server; valid during `run`.
    std::string_view m_request_id;
    std::optional<http::response_head_parser> m_parser;
};

} // namespace cicadahub::backend
