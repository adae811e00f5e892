#include "http/response_error.hpp"

#include <boost/beast/http/error.hpp>

#include <string>

namespace cicadahub::http
{

namespace
{

class response_error_category : public boost::system::error_category
{
public:
    const char* name() const noexcept override { return "response"; }

    std::string message(int it) const override
    {
        switch (static_cast<response_error>(it))
        {
        case response_error::head_too_long:
            return "the head of the response is too long";
        case response_error::too_many_interim_responses:
            return "too many interim responses";
        case response_error::body_too_long:
            return "the body of the response is too long";
        case response_error::event_too_long:
            return "an event of the stream is too long";
        case response_error::framing_too_long:
            return "chunk sizes, extensions or trailers are too long";
        case response_error::over_budget:
            return "the memory for responses is used up";
        case response_error::invalid_status:
            return "the status of the response is not valid";
        }
        return "unknown error";
    }
};

const response_error_category& category()
{
    static const response_error_category it;
    return it;
}

} // namespace

boost::system::error_code make_error_code(response_error it)
{
    return {static_cast<int>(it), category()};
}

bool is_bad_response(const boost::system::error_code& it)
{
    using boost::beast::http::error;
    const boost::system::error_code of_http =
        make_error_code(error::end_of_stream);
    return it.category() == category() ||
           (it.category() == of_http.category() && it != error::end_of_stream &&
            it != error::partial_message);
}

} // namespace cicadahub::http
