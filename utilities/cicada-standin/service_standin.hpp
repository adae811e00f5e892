#pragma once

#include "core/units.hpp"
#include "http/server.hpp"
#include "response_faults.hpp"

#include <map>
#include <string>

namespace cicadahub::standin
{

namespace net = boost::asio;

/// Simulates a plain service. It counts the executions of each request,
/// identified by `X-Request-Id` or, without that field, by its body;
/// `GET /stats` returns the counts. `PUT /faults` sets `lose_answers` (number
/// of calls that are executed without a response), `work_ms` (execution time)
/// and those of `response_faults`.
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
    response_faults m_faults;
};

} // namespace cicadahub::standin
