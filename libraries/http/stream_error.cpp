#include "http/stream_error.hpp"

namespace cicadahub::http
{

namespace
{

class stream_error_category : public boost::system::error_category
{
public:
    const char* name() const noexcept override { return "event stream"; }

    std::string message(int it) const override
    {
        switch (static_cast<stream_error>(it))
        {
        case stream_error::ends_inside_event:
            return "the event stream ends inside an event";
        }
        return "unknown error";
    }
};

} // namespace

boost::system::error_code make_error_code(stream_error it)
{
    static const stream_error_category category;
    return {static_cast<int>(it), category};
}

} // namespace cicadahub::http
