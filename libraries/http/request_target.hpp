#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahub::http
{

/// Encodes a text as one segment of a path, or as one name or value of a query:
/// all but the unreserved characters (RFC 3986, section 2.3).
std::string percent_encode(std::string_view text);

/// Target of a request in origin form (RFC 9112, section 3.2.1), decoded.
struct request_target
{
    std::vector<std::string> segments;
    std::multimap<std::string, std::string, std::less<>> parameters;
};

/// Throws `malformed_document` if the target holds a character that has no
/// place in it, or a '%' that does not begin an escape. A '+' in the query is a
/// blank.
request_target parse_target(std::string_view target);

} // namespace cicadahub::http
