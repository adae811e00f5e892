#include "http/response_reading.hpp"

#include "http/body_framing.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>

namespace cicadahub::http
{

namespace
{

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

} // namespace

net::awaitable<void> read_full_response(client_connection& server,
                                        full_response_parser& parser)
{
    co_await beast_http::async_read(server.stream, server.buf, parser,
                                    net::use_awaitable);
    const response& it = parser.get();
    // A close ends a whole body and one that broke off. Other content types
    // have no end that could be checked.
    if (framing_of(parser) == body_framing::until_close &&
        is_json(it[field::content_type]) && !is_whole_json(it.body()))
    {
        throw boost::system::system_error(beast_http::error::partial_message);
    }
}

} // namespace cicadahub::http
