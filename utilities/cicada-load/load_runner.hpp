#pragma once

#include "http/event_stream_reader.hpp"
#include "load_plan.hpp"
#include "load_report.hpp"

namespace cicadahub::load
{

namespace net = boost::asio;

/// Sends one thread's part of the schedule in an open loop: each request is
/// sent at its scheduled time, regardless of the requests before it, and its
/// latency counts from that time.
class load_runner
{
public:
    load_runner(net::io_context& context, const std::vector<flow>& flows,
                std::vector<http::endpoint> targets, time_point start);

    net::awaitable<void> run(std::vector<scheduled_request> schedule);

    const report_map& reports() const { return m_reports; }

private:
    net::awaitable<void> send(scheduled_request it);
    net::awaitable<void> exchange(http::client_connection& connection,
                                  const scheduled_request& it,
                                  flow_report& report, bool& is_reusable);
    net::awaitable<void> read_stream(http::client_connection& connection,
                                     http::response_head_parser& parser,
                                     time_point scheduled, flow_report& report);
    http::request build_request(const scheduled_request& it) const;

    net::io_context& m_context;
    const std::vector<flow>& m_flows;
    std::vector<http::endpoint> m_targets;
    time_point m_start;
    http::client_pool m_pool;
    report_map m_reports;
    std::size_t m_next_target = 0;
    std::size_t m_in_flight = 0;
};

} // namespace cicadahub::load
