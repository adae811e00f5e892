#include "http/request_target.hpp"

#include "core/errors.hpp"

// The sources of Boost.URL, which Debian has among the headers of Boost.
#include <boost/url/src.hpp>

namespace cicadahub::http
{

std::string percent_encode(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

request_target parse_target(std::string_view target)
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
    {
        throw malformed_document("not the target of a request: " +
                                 url.error().message());
    }
    request_target it;
    for (const auto& segment : url->segments())
    {
        it.segments.emplace_back(segment);
    }
    for (const auto& parameter : url->params())
    {
        it.parameters.emplace(parameter.key, parameter.value);
    }
    return it;
}

} // namespace cicadahub::http
