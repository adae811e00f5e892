#pragma once

#include <boost/system/error_code.hpp>

namespace cicadahub::http
{

/// Faults of an event stream whose transport reports no error.
enum class stream_error
{
    /// The framing of the response ends inside an event.
    ends_inside_event = 1,
};

boost::system::error_code make_error_code(stream_error it);

} // namespace cicadahub::http

template<>
struct boost::system::is_error_code_enum<cicadahub::http::stream_error>
    : std::true_type
{
};
