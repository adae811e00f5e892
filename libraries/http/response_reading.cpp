#include "http/response_reading.hpp"

#include "http/body_framing.hpp"
#include "http/request_delivery.hpp"
#include "http/response_error.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>

namespace cicadahub::http
{

namespace
{

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

bool is_json(std::string_view content_type)
{
    return boost::algorithm::istarts_with(content_type, "application/json");
}

/// True for one JSON document or several, as in the response to a watch.
bool is_whole_json(std::string_view body)
{
    constexpr std::string_view white_space = " \t\r\n";
    boost::json::stream_parser parser;
    do
    {
        boost::system::error_code ec;
        parser.reset();
        body.remove_prefix(parser.write_some(body, ec));
        if (!ec && !parser.done())
        {
            parser.finish(ec);
        }
        if (ec)
        {
            return false;
        }
        body.remove_prefix(
            std::min(body.find_first_not_of(white_space), body.size()));
    } while (!body.empty());
    return true;
}

/// Checks the deadline itself: the timer of the stream never gets its turn
/// while each read completes at once.
void expect_time_left(const client_connection& server)
{
    if (monotonic_clock::now() >= server.deadline)
    {
        throw boost::system::system_error(boost::beast::error::timeout);
    }
}

/// Receives bytes that complete a head.
net::awaitable<void> receive_more(client_connection& server, bool has_begun)
{
    using beast_http::error;
    constexpr std::size_t read_bytes = 4096;
    expect_time_left(server);
    auto [ec, n] = co_await server.stream.async_read_some(
        server.buf.prepare(read_bytes), no_throw);
    if (ec == net::error::eof)
    {
        throw boost::system::system_error(has_begun ? error::partial_message
                                                    : error::end_of_stream);
    }
    if (ec)
    {
        throw boost::system::system_error(ec);
    }
    server.buf.commit(n);
}

/// Reads the head of one response, interim or not.
net::awaitable<void> read_one_head(client_connection& server,
                                   response_head_parser& parser)
{
    using beast_http::error;
    // Beast limits the fields that it finds incomplete in its buffer, but not
    // their sum.
    std::size_t head_bytes = 0;
    bool needs_more = server.buf.size() == 0;
    while (!parser.is_header_done())
    {
        if (needs_more)
        {
            co_await receive_more(server, parser.got_some());
        }
        boost::system::error_code ec;
        const std::size_t n = parser.put(server.buf.data(), ec);
        server.buf.consume(n);
        head_bytes += n;
        if (ec == error::header_limit || head_bytes > response_head_limit_bytes)
        {
            throw boost::system::system_error(response_error::head_too_long);
        }
        if (ec == error::body_limit)
        {
            throw boost::system::system_error(response_error::body_too_long);
        }
        needs_more = ec == error::need_more;
        if (ec && !needs_more)
        {
            throw boost::system::system_error(ec);
        }
    }
}

/// Throws for a status that no response to our requests can have.
bool is_interim(unsigned code)
{
    constexpr unsigned first_status = 100;
    constexpr unsigned first_final_status = 200;
    constexpr unsigned end_of_statuses = 600;
    if (code < first_status || code >= end_of_statuses ||
        code == static_cast<unsigned>(status::switching_protocols))
    {
        throw boost::system::system_error(response_error::invalid_status);
    }
    return code < first_final_status;
}

/// Appends to a body whose memory is shared with other responses.
void append(std::string& body, std::string_view bytes,
            const response_limits& limits, memory_share& memory)
{
    const std::size_t size = body.size() + bytes.size();
    if (size > limits.body_bytes)
    {
        throw boost::system::system_error(response_error::body_too_long);
    }
    if (size > body.capacity())
    {
        const std::size_t capacity = std::max(size, 2 * body.capacity());
        memory.resize(capacity);
        body.reserve(capacity);
    }
    body.append(bytes);
}

} // namespace

net::awaitable<void>
read_response_head(client_connection& server,
                   std::optional<response_head_parser>& parser, verb method)
{
    for (int n = 0; n <= interim_response_limit; ++n)
    {
        parser.emplace();
        parser->header_limit(response_head_limit_bytes);
        parser->body_limit(server.limits.stream_bytes);
        parser->skip(method == verb::head);
        co_await read_one_head(server, *parser);
        if (!is_interim(parser->get().result_int()))
        {
            co_return;
        }
    }
    throw boost::system::system_error(
        response_error::too_many_interim_responses);
}

body_reader::body_reader(client_connection& server,
                         response_head_parser& parser)
    : m_server(server), m_parser(parser)
{
}

net::awaitable<std::string_view> body_reader::read_some()
{
    using beast_http::error;
    expect_time_left(m_server);
    m_parser.get().body().data = m_buf.data();
    m_parser.get().body().size = m_buf.size();
    auto [ec, n] = co_await beast_http::async_read_some(
        m_server.stream, m_server.buf, m_parser, no_throw);
    if (ec == error::buffer_overflow)
    {
        throw boost::system::system_error(response_error::framing_too_long);
    }
    if (ec == error::body_limit)
    {
        throw boost::system::system_error(response_error::body_too_long);
    }
    if (ec && ec != error::need_buffer)
    {
        throw boost::system::system_error(ec);
    }
    const std::size_t received = m_buf.size() - m_parser.get().body().size;
    m_body_bytes += received;
    m_framing_bytes += n - std::min(n, received);
    if (m_framing_bytes > chunk_framing_limit_bytes +
                              chunk_framing_bytes_per_body_byte * m_body_bytes)
    {
        throw boost::system::system_error(response_error::framing_too_long);
    }
    co_return std::string_view(m_buf.data(), received);
}

net::awaitable<full_response> read_full_response(client_connection& server,
                                                 response_head_parser& parser)
{
    full_response it;
    it.memory = std::make_shared<memory_share>(server.budget);
    std::string body;
    body_reader reader(server, parser);
    const bool has_length = !parser.is_done() && !parser.chunked() &&
                            !parser.need_eof() && parser.content_length();
    if (has_length && *parser.content_length() > server.limits.body_bytes)
    {
        throw boost::system::system_error(response_error::body_too_long);
    }
    while (!parser.is_done())
    {
        append(body, co_await reader.read_some(), server.limits, *it.memory);
    }
    // A close ends a whole body and one that broke off. Only JSON has an end of
    // its own that could be checked.
    if (framing_of(parser) == body_framing::until_close &&
        !(is_json(parser.get()[field::content_type])
              ? is_whole_json(body)
              : has_delivered_all(server)))
    {
        throw boost::system::system_error(beast_http::error::partial_message);
    }
    it.message = response(std::move(parser.get().base()), std::move(body));
    co_return it;
}

} // namespace cicadahub::http
