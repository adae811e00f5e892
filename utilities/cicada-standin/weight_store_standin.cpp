#include "weight_store_standin.hpp"

#include "core/json_reader.hpp"

#include <algorithm>

namespace cicadahub::standin
{

namespace
{

/// Interval at which the speed of a transfer is recomputed.
constexpr milliseconds transfer_step{5};

double seconds_in(milliseconds it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

weight_store_standin::weight_store_standin(net::io_context& context,
                                           weight_store_settings settings)
    : m_context(context), m_settings(settings)
{
}

net::awaitable<void> weight_store_standin::serve(http::request& message,
                                                 http::reply_writer& reply)
{
    if (http::path_of(message.target()) == "/stats")
    {
        co_await reply.send(stats());
        co_return;
    }
    const boost::json::object json = parse_json_object(message.body());
    const auto bytes = json_reader(json).integer("bytes");
    co_await transfer(static_cast<double>(bytes));
    co_await reply.send(http::json_response(http::status::ok, "{}"));
}

net::awaitable<void> weight_store_standin::transfer(double bytes)
{
    const time_point now = monotonic_clock::now();
    const microseconds spacing(
        static_cast<std::int64_t>(1e6 / m_settings.loads_per_second));
    const time_point start = std::max(now, m_next_start);
    m_next_start = start + spacing;
    ++m_fetches;
    net::steady_timer timer(m_context, start - now);
    co_await timer.async_wait(net::use_awaitable);
    ++m_running;
    m_most_running = std::max(m_most_running, m_running);
    while (bytes > 0)
    {
        const double share =
            std::min(1.0, static_cast<double>(m_settings.full_speed_loads) /
                              static_cast<double>(m_running));
        const double rate = m_settings.bytes_per_second * share;
        const auto rest = std::chrono::ceil<milliseconds>(
            std::chrono::duration<double>(bytes / rate));
        const milliseconds step = std::min(transfer_step, rest);
        timer.expires_after(step);
        co_await timer.async_wait(net::use_awaitable);
        bytes -= rate * seconds_in(step);
    }
    --m_running;
}

http::response weight_store_standin::stats() const
{
    boost::json::object json;
    json["fetches"] = m_fetches;
    json["most_running"] = m_most_running;
    return http::json_response(http::status::ok, boost::json::serialize(json));
}

} // namespace cicadahub::standin
