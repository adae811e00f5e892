#include "load_runner.hpp"

#include "http/message_head.hpp"
#include "http/response_reading.hpp"

#include "core/json_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cicadahub::load
{

namespace
{

constexpr milliseconds connect_timeout{5'000};
constexpr milliseconds answer_timeout{600'000};
constexpr milliseconds finish_poll{10};
constexpr std::size_t idle_connections = 4096;
constexpr auto no_throw = net::as_tuple(net::use_awaitable);

std::string refusal_name(const http::response& answer)
{
    constexpr std::string_view prefix = "urn:cicadahub:problem:";
    try
    {
        const boost::json::object json = parse_json_object(answer.body());
        const std::string type = json_reader(json).text("type");
        return type.starts_with(prefix) ? type.substr(prefix.size()) : type;
    }
    catch (const malformed_document&)
    {
        return "status-" + std::to_string(answer.result_int());
    }
}

} // namespace

load_runner::load_runner(net::io_context& context,
                         const std::vector<flow>& flows,
                         std::vector<http::endpoint> targets, time_point start)
    : m_context(context), m_flows(flows), m_targets(std::move(targets)),
      m_start(start), m_pool(context, connect_timeout, idle_connections)
{
}

net::awaitable<void> load_runner::run(std::vector<scheduled_request> schedule)
{
    net::steady_timer timer(m_context);
    for (const scheduled_request& it : schedule)
    {
        const auto left = m_start + it.at - monotonic_clock::now();
        if (left.count() > 0)
        {
            timer.expires_after(left);
            co_await timer.async_wait(no_throw);
        }
        ++m_in_flight;
        net::co_spawn(m_context, send(it), net::detached);
    }
    while (m_in_flight > 0)
    {
        timer.expires_after(finish_poll);
        co_await timer.async_wait(no_throw);
    }
}

http::request load_runner::build_request(const scheduled_request& it) const
{
    const flow& from = m_flows[it.flow];
    boost::json::object body;
    body["model"] = from.models[it.model];
    body["prompt"] =
        std::string(static_cast<std::size_t>(from.prompt_bytes), 'p');
    body["max_tokens"] = from.max_tokens;
    if (from.is_stream)
    {
        body["stream"] = true;
    }
    http::request message = http::make_request(
        http::verb::post, "/v1/completions", boost::json::serialize(body));
    if (!from.key.empty())
    {
        message.set(http::field::authorization, "Bearer " + from.key);
    }
    message.set("X-Cicadahub-Class", from.work_class);
    return message;
}

net::awaitable<void> load_runner::send(scheduled_request it)
{
    const flow& from = m_flows[it.flow];
    flow_report& report = m_reports[from.name];
    report.work_class = from.work_class;
    report.organisation = from.organisation;
    ++report.sent;
    const http::endpoint target = m_targets[m_next_target++ % m_targets.size()];
    try
    {
        auto connection = co_await m_pool.acquire(target);
        bool is_reusable = false;
        co_await exchange(*connection, it, report, is_reusable);
        if (is_reusable)
        {
            m_pool.release(target, std::move(connection));
        }
    }
    catch (const boost::system::system_error&)
    {
        ++report.failed;
    }
    --m_in_flight;
}

net::awaitable<void> load_runner::exchange(http::client_connection& connection,
                                           const scheduled_request& it,
                                           flow_report& report,
                                           bool& is_reusable)
{
    const http::request message = build_request(it);
    const time_point scheduled = m_start + it.at;
    connection.set_timeout(answer_timeout);
    const std::string head = http::serialize_head(message);
    co_await net::async_write(connection.stream,
                              http::wire_buffers(head, message.body()),
                              net::use_awaitable);
    std::optional<http::response_head_parser> head_parser;
    co_await http::read_response_head(connection, head_parser,
                                      message.method());
    auto& parser = *head_parser;
    is_reusable = parser.keep_alive();
    if (parser.get().result() == http::status::ok &&
        http::is_event_stream(parser.get()[http::field::content_type]))
    {
        co_await read_stream(connection, parser, scheduled, report);
        ++report.answered;
        report.total_time.add(monotonic_clock::now() - scheduled);
        co_return;
    }
    const http::full_response full =
        co_await http::read_full_response(connection, parser);
    if (full.message.result() != http::status::ok)
    {
        ++report.refused[refusal_name(full.message)];
        co_return;
    }
    const time_point now = monotonic_clock::now();
    ++report.answered;
    report.first_token.add(now - scheduled);
    report.total_time.add(now - scheduled);
}

net::awaitable<void>
load_runner::read_stream(http::client_connection& connection,
                         http::response_head_parser& parser,
                         time_point scheduled, flow_report& report)
{
    http::event_stream_reader reader(connection, parser);
    std::optional<time_point> last;
    while (true)
    {
        const auto events = co_await reader.read_some();
        if (!events)
        {
            co_return;
        }
        if (events->empty())
        {
            continue;
        }
        const time_point now = monotonic_clock::now();
        if (last)
        {
            report.token_gap.add(now - *last);
        }
        else
        {
            report.first_token.add(now - scheduled);
        }
        last = now;
    }
}

} // namespace cicadahub::load
