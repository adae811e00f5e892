#pragma once

#include "entry/dialects.hpp"
#include "http/body_framing.hpp"
#include "http/client.hpp"
#include "http/reply_writer.hpp"
#include "http/response_reading.hpp"

#include <functional>
#include <optional>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// How an exchange with a backend server ended.
enum class exchange_end
{
    /// The complete stream has been forwarded to the caller.
    streamed,
    /// The result holds a complete response, to be sent to the caller.
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// The same, because the server meanwhile leaves or asked for a pause, or
    /// because the deadline passed.
    withheld,
    /// The server reported that it has not executed the request: it is full or
    /// cannot meet the deadline.
    turned_away,
    /// The same, because another server now has the address, or the model is
    /// not loaded.
    not_here,
    /// Bytes of the request were sent, but no response that can be forwarded
    /// was received: the request may have been executed.
    failed,
    /// The deadline of the request has passed.
    out_of_time,
    caller_gone,
};

std::string_view name_of(exchange_end it);

/// What the caller has received of a stream, from all servers that produced
/// parts of it.
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
    /// The memory that the answer holds.
    std::shared_ptr<http::memory_share> memory;
    /// Empty if no head of a response was received.
    std::optional<answer_head> head;
    server_notice notice;
    /// Exchanges that the connection had completed before this one.
    std::uint32_t earlier_exchanges = 0;
    /// The server closed or reset the connection after it had received bytes of
    /// the request, as when its process crashes.
    bool is_connection_lost = false;
    /// Empty if no head of a response was received.
    std::optional<http::body_framing> framing;
    /// Bytes of an event at the end of a stream that lacks its end.
    std::size_t partial_event_bytes = 0;
    std::string reason;
};

/// Links of an exchange to what is known of the server that it talks to.
struct exchange_handlers
{
    /// Called immediately before the first byte is sent; nothing is sent if it
    /// returns false.
    std::function<bool()> may_send;
    /// Called with what each head of a response says of its server.
    std::function<void(const server_notice&)> on_notice;
    /// Called when bytes of a response arrived.
    std::function<void()> on_contact;
};

/// Sends a request to a backend server and forwards the response. Of a stream
/// that breaks off, only complete events are forwarded, so that the caller
/// never has a partial event and another server can resume after the last one.
/// Such a stream is never terminated as if it were complete.
class exchange
{
public:
    exchange(http::client_pool& pool, const server_dialect& dialect,
             exchange_handlers handlers);

    /// `deadline` covers the complete exchange, not each of its steps; the
    /// server is told the time that is left of it.
    /// `use_new_connection` is for a request that was sent to this address
    /// before: a second copy of the response to its earlier attempt would name
    /// the same request.
    net::awaitable<exchange_result>
    run(const http::endpoint& address, const http::request& message,
        forwarding added, const request_id& id, http::reply_writer& reply,
        stream_progress& progress, time_point deadline,
        bool use_new_connection);

    /// Closes the connection to the server, so that the server stops working on
    /// a request whose caller has disconnected.
    void cancel();

private:
    using connection = http::client_connection;

    net::awaitable<void> send(connection& server, const http::request& message,
                              const forwarding& added);
    net::awaitable<void> receive(connection& server, const request_id& id,
                                 const server_id& sender,
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
    exchange_handlers m_handlers;
    exchange_result m_result;
    std::optional<http::response_head_parser> m_parser;
    http::verb m_method = http::verb::unknown;
    time_point m_deadline{};
    connection* m_connection = nullptr;
    bool m_is_cancelled = false;
    bool m_is_writing_to_caller = false;
    bool m_has_sent = false;
    bool m_can_reuse = false;
};

} // namespace cicadahub::entry
