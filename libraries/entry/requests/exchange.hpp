#pragma once

#include "entry/dialects.hpp"
#include "entry/requests/exchange_end.hpp"
#include "entry/requests/relay_codec.hpp"
#include "http/body_framing.hpp"
#include "http/client.hpp"
#include "http/reply_writer.hpp"
#include "http/response_reading.hpp"

#include <functional>
#include <optional>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// What the caller has received of a stream, from all servers that produced
/// parts of it.
struct stream_progress
{
    bool has_head = false;
    std::optional<std::string> last_event;
    std::optional<time_point> first_event_at;
    time_point last_event_at{};
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
    /// the request, as when its process crashes. False if another daemon
    /// forwarded the request: only that daemon sees how the server ended it.
    bool is_connection_lost = false;
    /// Empty if no head of a response was received.
    std::optional<http::body_framing> framing;
    /// The daemon that should have forwarded the request has not sent it.
    bool is_relay_unavailable = false;
    /// Arrival of the first event of a stream, or of the head of another
    /// answer.
    std::optional<time_point> answer_began;
    /// Bytes of an event at the end of a stream that lacks its end.
    std::size_t partial_event_bytes = 0;
    /// Time after which the daemon that withheld a relayed request, because of
    /// the server's limit, can send it.
    std::optional<milliseconds> limit_wait;
    std::string reason;
};

/// True for 5xx responses. 504 is excluded: a server that runs out of time is
/// not faulty.
bool is_server_error(const exchange_result& result);

/// True if the server had no room for the request.
bool is_rejection(const exchange_result& result);

/// The way from this daemon to a server.
struct exchange_path
{
    /// The server, or the daemon that forwards the request to it.
    http::endpoint address;
    /// For a request that was sent to this server before: a second copy of the
    /// response to its earlier attempt would name the same request.
    bool use_new_connection = false;
    /// Set if another daemon forwards the request.
    std::optional<relayed_request> relay;
};

/// Links of an exchange to what is known of the server that it talks to.
struct exchange_handlers
{
    /// Called immediately before the first byte is sent; nothing is sent if it
    /// returns false.
    std::function<bool()> may_send;
    /// Called with what each head of a response says of its server.
    std::function<void(const server_notice&)> on_notice;
    /// Called when bytes of a response arrived from the server itself.
    std::function<void()> on_contact;
    /// Called before the first event of the exchange is forwarded.
    std::function<void()> on_first_event;
    /// Called with what a response to the request says of its server's load.
    std::function<void(const server_load&)> on_load{};
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
    net::awaitable<exchange_result>
    run(exchange_path path, const http::request& message, forwarding added,
        const request_id& id, http::reply_writer& reply,
        stream_progress& progress, time_point deadline);

    /// Ends the exchange as failed if nothing arrived for this long; `reason`
    /// is for the log.
    void give_up_if_silent(milliseconds limit, std::string_view reason);

    /// Closes the connection to the server, so that the server stops working on
    /// a request whose caller has disconnected.
    void cancel();

private:
    using connection = http::client_connection;

    net::awaitable<void> send(connection& server, const http::request& message,
                              const forwarding& added);
    std::string head_of(const http::request& message,
                        const forwarding& added) const;
    void on_contact();
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
    void release_connection(http::client_pool::connection_pointer server);

    http::client_pool& m_pool;
    const server_dialect& m_dialect;
    exchange_handlers m_handlers;
    exchange_path m_path;
    exchange_result m_result;
    std::optional<http::response_head_parser> m_parser;
    http::verb m_method = http::verb::unknown;
    time_point m_deadline{};
    connection* m_connection = nullptr;
    time_point m_last_contact{};
    std::string_view m_give_up_reason;
    bool m_is_cancelled = false;
    bool m_is_writing_to_caller = false;
    bool m_has_sent = false;
    bool m_can_reuse = false;
};

} // namespace cicadahub::entry
