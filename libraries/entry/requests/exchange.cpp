#include "entry/requests/exchange.hpp"

#include "http/event_stream_reader.hpp"
#include "http/response_reading.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <array>

namespace cicadahub::entry
{

namespace
{

using outcome::response_meaning;

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

/// An idle connection is reused only for this fraction of the idle timeout that
/// the server announces, so that no request is sent while the server closes it.
constexpr double reusable_timeout_fraction = 0.6;

/// The same for connections to other daemons, which state no timeout; they
/// close idle connections after 75 s.
constexpr milliseconds relay_idle_limit{30'000};

/// True for hop-by-hop fields of a response, and for Content-Length, which is
/// recomputed.
bool is_hop_by_hop(http::field it)
{
    switch (it)
    {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
        return true;
    default:
        return false;
    }
}

http::response caller_head(const http::beast_http::response_header<>& from)
{
    http::response head;
    head.version(11);
    // The status may be one that the library has no name for.
    head.result(from.result_int());
    head.reason(from.reason());
    for (const auto& it : from)
    {
        if (!is_hop_by_hop(it.name()))
        {
            head.insert(it.name_string(), it.value());
        }
    }
    return head;
}

bool is_lost_connection(const boost::system::error_code& ec)
{
    using http::beast_http::error;
    return ec == error::end_of_stream || ec == error::partial_message ||
           ec == net::error::connection_reset || ec == net::error::eof;
}

/// Time until which a connection may be reused according to its Keep-Alive
/// field.
time_point reusable_until(std::string_view keep_alive)
{
    constexpr std::string_view mark = "timeout=";
    const std::size_t at = keep_alive.find(mark);
    if (at == std::string_view::npos)
    {
        return time_point::max();
    }
    const std::string_view rest = keep_alive.substr(at + mark.size());
    double timeout = 0;
    if (!boost::conversion::try_lexical_convert(
            rest.substr(0, rest.find_first_of(", ;")), timeout))
    {
        return time_point::max();
    }
    const auto part =
        std::chrono::duration<double>(timeout) * reusable_timeout_fraction;
    return monotonic_clock::now() +
           std::chrono::duration_cast<monotonic_clock::duration>(part);
}

} // namespace

std::string_view name_of(exchange_end it)
{
    constexpr std::array<std::string_view, 9> names{
        "streamed", "answered", "not-sent",    "withheld",   "turned-away",
        "not-here", "failed",   "out-of-time", "caller-gone"};
    return names.at(static_cast<std::size_t>(it));
}

bool is_server_error(const exchange_result& result)
{
    return result.answer && result.answer->result_int() >= 500 &&
           result.answer->result() != http::status::gateway_timeout;
}

bool is_rejection(const exchange_result& result)
{
    return result.end == exchange_end::turned_away && !result.notice.pause;
}

exchange::exchange(http::client_pool& pool, const server_dialect& dialect,
                   exchange_handlers handlers)
    : m_pool(pool), m_dialect(dialect), m_handlers(std::move(handlers))
{
}

void exchange::cancel()
{
    m_is_cancelled = true;
    if (m_connection != nullptr)
    {
        boost::system::error_code ec;
        m_connection->stream.socket().close(ec);
    }
}

void exchange::give_up_if_silent(milliseconds limit, std::string_view reason)
{
    if (m_connection != nullptr &&
        m_last_contact + limit <= monotonic_clock::now())
    {
        m_give_up_reason = reason;
        boost::system::error_code ec;
        m_connection->stream.socket().close(ec);
    }
}

net::awaitable<exchange_result>
exchange::run(exchange_path path, const http::request& message,
              forwarding added, const request_id& id, http::reply_writer& reply,
              stream_progress& progress, time_point deadline)
{
    m_path = std::move(path);
    m_result = {};
    m_deadline = deadline;
    m_has_sent = false;
    m_can_reuse = false;
    m_give_up_reason = {};
    m_method = message.method();
    http::client_pool::connection_pointer server;
    try
    {
        // GCC 12 miscompiles `co_await` inside a conditional expression.
        if (m_path.use_new_connection && !m_path.relay)
        {
            server = co_await m_pool.connect(m_path.address);
        }
        else
        {
            server = co_await m_pool.acquire(m_path.address);
        }
    }
    catch (const boost::system::system_error& reason)
    {
        m_result.reason = reason.code().message();
        m_result.is_relay_unavailable = m_path.relay.has_value();
        co_return m_result;
    }
    // A close that arrived with the request, or while this host was busy, has
    // not been handled yet.
    if (m_is_cancelled || reply.has_caller_left())
    {
        m_pool.release(m_path.address, std::move(server));
        m_result.end = exchange_end::caller_gone;
        co_return m_result;
    }
    // The deadline may have passed, or the server's notices may have changed,
    // while the connection was opened.
    const auto left = std::chrono::duration_cast<milliseconds>(
        m_deadline - monotonic_clock::now());
    if (left.count() <= 0 || !m_handlers.may_send())
    {
        m_pool.release(m_path.address, std::move(server));
        m_result.end = exchange_end::withheld;
        co_return m_result;
    }
    m_connection = server.get();
    m_last_contact = monotonic_clock::now();
    m_result.earlier_exchanges = server->completed_exchanges;
    server->set_deadline(m_deadline);
    try
    {
        added.time_left = left;
        co_await send(*server, message, added);
        co_await receive(*server, id, added.server, reply, progress);
    }
    catch (const boost::system::system_error& reason)
    {
        m_result.reason = m_give_up_reason.empty()
                              ? reason.code().message()
                              : std::string(m_give_up_reason);
        if (m_is_cancelled || m_is_writing_to_caller)
        {
            m_result.end = exchange_end::caller_gone;
        }
        else if (monotonic_clock::now() >= m_deadline)
        {
            m_result.end = exchange_end::out_of_time;
        }
        else
        {
            m_result.end =
                m_has_sent ? exchange_end::failed : exchange_end::not_sent;
            m_result.is_relay_unavailable = !m_has_sent && m_path.relay;
            m_result.is_connection_lost = m_has_sent && !m_path.relay &&
                                          is_lost_connection(reason.code());
        }
    }
    m_connection = nullptr;
    release_connection(std::move(server));
    co_return m_result;
}

void exchange::release_connection(http::client_pool::connection_pointer server)
{
    if (m_can_reuse && server->buf.size() == 0)
    {
        if (m_path.relay)
        {
            server->reusable_until = monotonic_clock::now() + relay_idle_limit;
        }
        m_pool.release(m_path.address, std::move(server));
        return;
    }
    if (m_result.end == exchange_end::failed ||
        m_result.end == exchange_end::not_sent)
    {
        // Connections to one server usually fail together.
        m_pool.drop_idle(m_path.address);
    }
}

std::string exchange::head_of(const http::request& message,
                              const forwarding& added) const
{
    if (!m_path.relay)
    {
        return m_dialect.forward_head(message, added);
    }
    relayed_request it = *m_path.relay;
    it.added = added;
    it.use_new_connection = m_path.use_new_connection;
    return relayed_head(message, it);
}

void exchange::on_contact()
{
    m_last_contact = monotonic_clock::now();
    if (!m_path.relay)
    {
        m_handlers.on_contact();
    }
}

net::awaitable<void> exchange::send(connection& server,
                                    const http::request& message,
                                    const forwarding& added)
{
    const std::string head = head_of(message, added);
    const std::array<net::const_buffer, 2> bytes{net::buffer(head),
                                                 net::buffer(message.body())};
    auto [ec, n] = co_await net::async_write(server.stream, bytes, no_throw);
    m_has_sent = n > 0;
    if (ec)
    {
        throw boost::system::system_error(ec);
    }
}

net::awaitable<void> exchange::receive(connection& server, const request_id& id,
                                       const server_id& sender,
                                       http::reply_writer& reply,
                                       stream_progress& progress)
{
    co_await http::read_response_head(server, m_parser, m_method);
    on_contact();
    const auto& head = m_parser->get();
    if (m_path.relay)
    {
        if (auto end = read_relay_end(head))
        {
            co_await read_full_response(server);
            m_result.end = end->end;
            m_result.is_relay_unavailable = end->is_unavailable;
            m_result.limit_wait = end->limit_wait;
            m_result.reason = std::move(end->reason);
            co_return;
        }
    }
    m_result.head = m_dialect.read_answer(head, id, sender);
    const auto meaning = outcome::meaning_of(m_result.head->facts);
    if (m_result.head->facts.request == outcome::named_party::expected)
    {
        m_result.notice = m_dialect.read_notice(head, sender);
        m_handlers.on_notice(m_result.notice);
        if (m_result.head->load && m_handlers.on_load &&
            m_result.head->facts.server != outcome::named_party::other)
        {
            m_handlers.on_load(*m_result.head->load);
        }
    }
    m_result.framing = http::framing_of(*m_parser);
    if (meaning == response_meaning::not_an_answer)
    {
        m_result.reason = "the response is not valid for this request";
        m_result.end = exchange_end::failed;
        co_return;
    }
    const bool is_stream =
        m_method != http::verb::head && meaning == response_meaning::answer &&
        head.result() == http::status::ok &&
        http::is_event_stream(head[http::field::content_type]);
    if (is_stream)
    {
        co_await relay_stream(server, reply, progress);
        co_return;
    }
    m_result.answer_began = m_last_contact;
    http::response answer = co_await read_full_response(server);
    switch (meaning)
    {
    case response_meaning::turned_away:
        m_result.end = exchange_end::turned_away;
        break;
    case response_meaning::not_here:
        m_result.end = exchange_end::not_here;
        break;
    case response_meaning::unproven_promise:
        m_result.end = exchange_end::failed;
        m_result.reason = "the server does not state that it has not executed "
                          "the request";
        break;
    default:
        m_result.end = exchange_end::answered;
        m_result.answer = std::move(answer);
        break;
    }
}

net::awaitable<http::response> exchange::read_full_response(connection& server)
{
    // Reading the body adds the fields behind it to those of the head.
    http::response answer = caller_head(m_parser->get());
    http::full_response it =
        co_await http::read_full_response(server, *m_parser);
    m_can_reuse = it.message.keep_alive();
    server.reusable_until = reusable_until(it.message[http::field::keep_alive]);
    m_result.memory = it.memory;
    if (m_method == http::verb::head)
    {
        const auto length = it.message[http::field::content_length];
        if (!length.empty())
        {
            answer.set(http::field::content_length, length);
        }
        co_return answer;
    }
    answer.body() = std::move(it.message.body());
    answer.content_length(answer.body().size());
    co_return answer;
}

net::awaitable<void> exchange::forward_events(std::string_view events,
                                              http::reply_writer& reply,
                                              stream_progress& progress)
{
    if (!progress.first_event_at)
    {
        progress.first_event_at = monotonic_clock::now();
    }
    progress.last_event_at = monotonic_clock::now();
    m_is_writing_to_caller = true;
    co_await reply.write_chunk(events);
    m_is_writing_to_caller = false;
    if (auto id = http::last_event_id(events))
    {
        progress.last_event = std::move(id);
    }
}

net::awaitable<void> exchange::relay_stream(connection& server,
                                            http::reply_writer& reply,
                                            stream_progress& progress)
{
    auto& parser = *m_parser;
    if (!progress.has_head)
    {
        http::response head = caller_head(parser.get());
        progress.has_head = true;
        m_is_writing_to_caller = true;
        co_await reply.begin_stream(std::move(head));
        m_is_writing_to_caller = false;
    }
    const bool can_reuse = parser.get().keep_alive();
    server.reusable_until =
        reusable_until(parser.get()[http::field::keep_alive]);
    http::event_stream_reader reader(server, parser);
    while (true)
    {
        const auto events = co_await reader.read_some();
        m_result.partial_event_bytes = reader.partial_event_bytes();
        on_contact();
        if (!events)
        {
            break;
        }
        if (!events->empty())
        {
            if (!m_result.answer_began)
            {
                m_result.answer_began = m_last_contact;
                m_handlers.on_first_event();
            }
            co_await forward_events(*events, reply, progress);
        }
    }
    m_can_reuse = can_reuse;
    m_is_writing_to_caller = true;
    co_await reply.end_stream();
    m_is_writing_to_caller = false;
    m_result.end = exchange_end::streamed;
}

} // namespace cicadahub::entry
