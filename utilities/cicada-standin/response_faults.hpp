#pragma once

#include "core/json_reader.hpp"
#include "http/reply_writer.hpp"

#include <boost/asio/awaitable.hpp>

namespace cicadahub::standin
{

namespace net = boost::asio;

/// Faults in what a simulated server says of the requests that it executes.
/// They are set by `echo` (responses name their request by X-Request-Id, as
/// they do at first), `unproven_promises` (number of requests that are executed
/// and answered with `promised_status`, as an event stream with
/// `promises_as_streams`) and `stale_responses` (number of requests in front of
/// whose response one to another request arrives, with `promised_status`; it
/// names the request `stale_id`, or none).
class response_faults
{
public:
    void read(const json_reader& it);

    /// What is wrong with the response to the next request.
    struct response_fault
    {
        bool is_promise = false;
        bool has_stale_response = false;
    };
    response_fault take_next();

    http::response promise() const;
    http::response stale_response() const;
    /// Body of a response to another request.
    static constexpr std::string_view stale_body = R"({"stale":true})";

    /// Names the request in the response, unless that is switched off.
    template<class Message>
    void name_request(Message& response, const http::request& message) const
    {
        const std::string_view id = message[id_field];
        if (m_names_request && !id.empty())
        {
            response.set(id_field, id);
        }
    }

private:
    static constexpr std::string_view id_field = "X-Request-Id";

    bool m_names_request = true;
    bool m_promises_as_streams = false;
    std::int64_t m_unproven_promises = 0;
    std::int64_t m_stale_responses = 0;
    std::int64_t m_promised_status = 503;
    std::string m_stale_id;
};

} // namespace cicadahub::standin
