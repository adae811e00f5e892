#include "raw_call.hpp"

#include "http/types.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace cicadahub::system_tests
{

unsigned raw_answer::status() const
{
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_digits = 3;
    unsigned status = 0;
    if (bytes.size() >= status_at + status_digits)
    {
        boost::conversion::try_lexical_convert(
            bytes.substr(status_at, status_digits), status);
    }
    return status;
}

unsigned status_of_raw(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(http::parse_endpoint(address));
    boost::asio::write(socket, boost::asio::buffer(bytes));
    boost::beast::flat_buffer buf;
    http::response answer;
    boost::system::error_code ec;
    http::beast_http::read(socket, buf, answer, ec);
    return ec ? 0 : answer.result_int();
}

raw_answer receive_until_close(const std::string& address,
                               const std::string& request)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(http::parse_endpoint(address));
    boost::asio::write(socket, boost::asio::buffer(request));
    raw_answer it;
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(it.bytes), ec);
    it.is_reset = ec == boost::asio::error::connection_reset;
    return it;
}

std::size_t count_occurrences(const std::string& text, const std::string& part)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
    {
        ++n;
    }
    return n;
}

} // namespace cicadahub::system_tests
