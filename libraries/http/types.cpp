#include "http/types.hpp"

#include "core/errors.hpp"

#include <algorithm>
#include <charconv>

namespace cicadahub::http
{

endpoint parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        throw malformed_document("the address has no port");
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code ec;
    const auto address = net::ip::make_address(host, ec);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [last, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    if (ec || error != std::errc{} || last != end)
    {
        throw malformed_document("not an IP address and port: " +
                                 std::string(text));
    }
    return {address, port};
}

std::string to_string(const endpoint& it)
{
    const std::string host = it.address().to_string();
    const std::string port = std::to_string(it.port());
    if (it.address().is_v6())
    {
        return "[" + host + "]:" + port;
    }
    return host + ":" + port;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view query_value(std::string_view target, std::string_view name)
{
    std::size_t at = target.find('?');
    while (at != std::string_view::npos)
    {
        target.remove_prefix(at + 1);
        at = target.find('&');
        const std::string_view pair = target.substr(0, at);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
        {
            return pair.substr(equals + 1);
        }
    }
    return {};
}

bool is_field_value(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const auto is_allowed = [](unsigned char c)
    {
        return c == '\t' || (c >= first_printable && c != delete_character);
    };
    return !text.empty() &&
           whitespace.find(text.front()) == std::string_view::npos &&
           whitespace.find(text.back()) == std::string_view::npos &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

response json_response(status code, std::string body)
{
    response it{code, 11};
    it.set(field::content_type, "application/json");
    it.body() = std::move(body);
    it.prepare_payload();
    return it;
}

response metrics_response(std::string text)
{
    response it{status::ok, 11};
    it.set(field::content_type, "text/plain; version=0.0.4");
    it.body() = std::move(text);
    it.prepare_payload();
    return it;
}

} // namespace cicadahub::http
