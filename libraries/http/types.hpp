#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <string>

namespace cicadahub::http
{

namespace net = boost::asio;
namespace beast_http = boost::beast::http;

using endpoint = net::ip::tcp::endpoint;
using request = beast_http::request<beast_http::string_body>;
using response = beast_http::response<beast_http::string_body>;
using beast_http::field;
using beast_http::status;
using beast_http::verb;

/// Parses "ADDRESS:PORT" with a numeric IP address; throws
/// `malformed_document` on anything else.
endpoint parse_endpoint(std::string_view text);

/// Formats an endpoint as "ADDRESS:PORT", with brackets around an IPv6 address.
std::string to_string(const endpoint& it);

/// Path of a request target, without its query.
std::string_view path_of(std::string_view target);

/// Value of one query parameter, still percent-encoded; empty if it is missing.
std::string_view query_value(std::string_view target, std::string_view name);

/// True if a text can be the value of a field (RFC 9110, section 5.5): it is
/// not empty, has no whitespace at an end, and no control character but tabs.
bool is_field_value(std::string_view text);

/// A JSON response with the given status.
response json_response(status code, std::string body);

/// A 200 response with metrics in the text format of Prometheus.
response metrics_response(std::string text);

} // namespace cicadahub::http
