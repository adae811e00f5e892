#pragma once

#include "http/types.hpp"

namespace cicadahub::http
{

/// How a response marks the end of its body (RFC 9112, section 6.3).
enum class body_framing
{
    /// The status excludes a body.
    no_body,
    content_length,
    chunked,
    /// The end of the connection is the only mark, so that a complete body and
    /// one that broke off may look the same.
    until_close,
};

std::string_view name_of(body_framing it);

template<class Body>
body_framing framing_of(const beast_http::response_parser<Body>& parser)
{
    if (parser.need_eof())
    {
        return body_framing::until_close;
    }
    if (parser.chunked())
    {
        return body_framing::chunked;
    }
    return parser.content_length() ? body_framing::content_length
                                   : body_framing::no_body;
}

} // namespace cicadahub::http
