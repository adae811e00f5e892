#include "backend/answer_relay.hpp"

#include "http/event_stream_reader.hpp"
#include "http/message_head.hpp"
#include "http/response_error.hpp"
#include "http/response_reading.hpp"
#include "http/stream_error.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <array>

namespace cicadahub::backend
{

namespace
{

using outcome::response_meaning;

/// Tokens of an answer that is not streamed, from the `usage` that engines
/// report in it.
std::int64_t tokens_of(const std::string& body)
{
    boost::json::error_code ec;
    const boost::json::value json = boost::json::parse(body, ec);
    if (ec || !json.is_object())
    {
        return 0;
    }
    const auto* usage = json.get_object().if_contains("usage");
    if (usage == nullptr || !usage->is_object())
    {
        return 0;
    }
    const auto* total = usage->get_object().if_contains("total_tokens");
    if (total == nullptr || !total->is_int64())
    {
        return 0;
    }
    return total->get_int64();
}

/// Tokens in a part of an event stream: engines send one token per event.
std::int64_t count_events(std::string_view data)
{
    constexpr std::string_view mark = "data:";
    std::int64_t n = 0;
    for (std::size_t at = data.find(mark); at != std::string_view::npos;
         at = data.find(mark, at + mark.size()))
    {
        ++n;
    }
    return n;
}

/// True if the events end with the one that ends an engine's stream.
bool ends_with_done_event(std::string_view events)
{
    constexpr std::string_view line_ends = "\r\n";
    events = events.substr(0, events.find_last_not_of(line_ends) + 1);
    return events.ends_with("data: [DONE]");
}

outcome::named_party party_named(std::string_view name,
                                 std::string_view expected)
{
    if (name.empty() || expected.empty())
    {
        return outcome::named_party::missing;
    }
    return name == expected ? outcome::named_party::expected
                            : outcome::named_party::other;
}

} // namespace

std::string_view name_of(relay_end it)
{
    constexpr std::array<std::string_view, 8> names{"complete",
                                                    "not-sent",
                                                    "model-not-loaded",
                                                    "server-busy",
                                                    "failed-before-answer",
                                                    "interrupted",
                                                    "caller-disconnected",
                                                    "cancelled"};
    return names.at(static_cast<std::size_t>(it));
}

answer_relay::answer_relay(http::client_pool& pool, relay_limits limits,
                           backend_kind kind)
    : m_pool(pool), m_limits(limits), m_kind(kind)
{
}

void answer_relay::close(connection& server)
{
    boost::system::error_code ec;
    server.stream.socket().close(ec);
}

void answer_relay::cancel()
{
    m_is_cancelled = true;
    if (m_connection != nullptr)
    {
        close(*m_connection);
    }
}

net::awaitable<relay_result> answer_relay::run(const http::endpoint& address,
                                               const http::request& message,
                                               http::reply_writer& reply,
                                               send_options how)
{
    m_result = {};
    m_can_reuse = false;
    http::client_pool::connection_pointer server;
    try
    {
        // GCC 12 miscompiles `co_await` inside a conditional expression.
        if (how.use_new_connection)
        {
            server = co_await m_pool.connect(address);
        }
        else
        {
            server = co_await m_pool.acquire(address);
        }
    }
    catch (const boost::system::system_error&)
    {
        co_return m_result;
    }
    m_result.response.earlier_exchanges = server->completed_exchanges;
    m_result.response.has_unique_id = how.has_unique_id;
    m_request_id = message[request_id_header];
    if (m_is_cancelled)
    {
        m_result.end = relay_end::cancelled;
        co_return m_result;
    }
    m_connection = server.get();
    reply.watch_caller(
        [this]
        {
            m_is_caller_disconnected = true;
            close(*m_connection);
        });
    m_result.end = relay_end::failed_before_answer;
    try
    {
        server->set_timeout(m_limits.answer);
        const std::string head = http::serialize_head(message);
        co_await net::async_write(server->stream,
                                  http::wire_buffers(head, message.body()),
                                  net::use_awaitable);
        co_await relay_head(*server, reply, message.method());
    }
    catch (const boost::system::system_error& reason)
    {
        // `m_result.end` already records how far the exchange got.
        m_result.is_connection_lost =
            reason.code() != boost::beast::error::timeout &&
            reason.code() != net::error::timed_out &&
            reason.code() != http::stream_error::ends_inside_event &&
            !http::is_bad_response(reason.code()) && !m_is_cancelled &&
            !m_is_caller_disconnected && !m_is_writing_to_caller;
    }
    reply.stop_watching_caller();
    m_connection = nullptr;
    if (m_result.end != relay_end::complete && m_is_cancelled)
    {
        m_result.end = relay_end::cancelled;
    }
    else if (m_result.end != relay_end::complete &&
             (m_is_caller_disconnected || m_is_writing_to_caller))
    {
        m_result.end = relay_end::caller_disconnected;
    }
    if (m_can_reuse)
    {
        m_pool.release(address, std::move(server));
    }
    else if (m_result.end == relay_end::failed_before_answer &&
             m_result.response.status == 0)
    {
        m_pool.drop_idle(address);
    }
    co_return m_result;
}

net::awaitable<void> answer_relay::relay_head(connection& server,
                                              http::reply_writer& reply,
                                              http::verb method)
{
    co_await http::read_response_head(server, m_parser, method);
    const auto& head = m_parser->get();
    read_facts(head);
    m_result.end = relay_end::interrupted;
    const bool is_stream =
        http::is_event_stream(head[http::field::content_type]);
    const response_meaning meaning = outcome::meaning_of(m_result.response);
    const bool is_believed = meaning == response_meaning::answer ||
                             meaning == response_meaning::turned_away ||
                             meaning == response_meaning::not_here;
    if (is_believed && !is_stream)
    {
        co_await relay_non_streamed(server, reply);
    }
    else if (meaning == response_meaning::answer)
    {
        co_await relay_stream(server, reply);
    }
    else
    {
        end_without_answer(meaning);
    }
}

void answer_relay::read_facts(const http::beast_http::response_header<>& head)
{
    auto& facts = m_result.response;
    facts.status = head.result_int();
    facts.request = party_named(head[request_id_header], m_request_id);
    facts.states_not_run = m_kind == backend_kind::engine &&
                           (head.result() == http::status::not_found ||
                            head.result() == http::status::too_many_requests ||
                            head.result() == http::status::service_unavailable);
}

void answer_relay::end_without_answer(response_meaning meaning)
{
    switch (meaning)
    {
    case response_meaning::not_here:
        m_result.end = relay_end::model_not_loaded;
        break;
    case response_meaning::turned_away:
        m_result.end = relay_end::server_busy;
        break;
    default:
        m_result.end = relay_end::failed_before_answer;
        // What follows on the connection may belong to any request.
        m_can_reuse = false;
    }
}

net::awaitable<void> answer_relay::relay_non_streamed(connection& server,
                                                      http::reply_writer& reply)
{
    http::full_response received =
        co_await http::read_full_response(server, *m_parser);
    http::response& answer = received.message;
    m_can_reuse = answer.keep_alive();
    m_result.response.has_bytes_behind = server.buf.size() > 0;
    const response_meaning meaning = outcome::meaning_of(m_result.response);
    if (meaning != response_meaning::answer)
    {
        end_without_answer(meaning);
        co_return;
    }
    m_result.tokens = tokens_of(answer.body());
    m_result.first_token_at = monotonic_clock::now();
    http::response out{answer.result(), 11};
    out.set(http::field::content_type, answer[http::field::content_type]);
    out.body() = std::move(answer.body());
    out.prepare_payload();
    if (m_is_buffering_answer)
    {
        m_result.buffered_answer = std::move(out);
    }
    else
    {
        reply.stop_watching_caller();
        m_is_writing_to_caller = true;
        co_await reply.send(std::move(out));
        m_is_writing_to_caller = false;
    }
    m_result.end = relay_end::complete;
}

net::awaitable<void> answer_relay::relay_stream(connection& server,
                                                http::reply_writer& reply)
{
    auto& parser = *m_parser;
    co_await reply.begin_stream(parser.get().result(),
                                parser.get()[http::field::content_type]);
    http::event_stream_reader reader(server, parser);
    bool has_done_event = false;
    while (true)
    {
        server.set_timeout(m_limits.gap);
        const auto events = co_await reader.read_some();
        if (!events)
        {
            break;
        }
        if (events->empty())
        {
            continue;
        }
        if (!m_result.first_token_at)
        {
            m_result.first_token_at = monotonic_clock::now();
        }
        m_result.tokens += count_events(*events);
        has_done_event = ends_with_done_event(*events);
        m_is_writing_to_caller = true;
        co_await reply.write_chunk(*events);
        m_is_writing_to_caller = false;
    }
    // Between two events a close looks the same whether the engine has finished
    // or died.
    if (m_kind == backend_kind::engine && !has_done_event &&
        http::framing_of(parser) == http::body_framing::until_close)
    {
        throw boost::system::system_error(
            http::beast_http::error::partial_message);
    }
    m_can_reuse = parser.get().keep_alive();
    m_is_writing_to_caller = true;
    co_await reply.end_stream();
    m_is_writing_to_caller = false;
    m_result.end = relay_end::complete;
}

} // namespace cicadahub::backend
