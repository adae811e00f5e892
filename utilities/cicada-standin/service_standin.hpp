#pragma once

#include "core/units.hpp"
#include "http/server.hpp"

#include <map>
#include <string>

namespace cicadahub::standin
{

namespace net = boost::asio;

/// Stand-in for a plain service. It counts each run by `X-Request-Id`, or by
/// the body where there is none; `GET /stats` tells the counts. `PUT /faults`
/// sets `lose_answers` (how many calls run without an answer) and `work_ms`.
class service_standin
{
public:
    explicit service_standin(net::io_context& context);

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    http::response stats() const;

    net::io_context& m_context;
    std::map<std::string, std::int64_t> m_runs;
    std::uint64_t m_keys_seen = 0;
    std::int64_t m_lost_answers = 0;
    milliseconds m_work{1};
};

} // namespace cicadahub::standin
