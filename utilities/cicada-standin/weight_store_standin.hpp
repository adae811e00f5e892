#pragma once

#include "core/units.hpp"
#include "http/server.hpp"

namespace cicadahub::standin
{

namespace net = boost::asio;

struct weight_store_settings
{
    double loads_per_second = 3;
    std::int64_t full_speed_loads = 4;
    double bytes_per_second = 1e9;
};

/// Simulates the weight store: `POST /fetch {"model", "bytes"}` responds when
/// the transfer is complete. Transfers start no faster than `loads_per_second`;
/// if more than `full_speed_loads` run at once, they share the bandwidth of
/// that many. `GET /stats` returns the number of transfers and the highest
/// number that ran at once.
class weight_store_standin
{
public:
    weight_store_standin(net::io_context& context,
                         weight_store_settings settings);

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    net::awaitable<void> transfer(double bytes);
    http::response stats() const;

    net::io_context& m_context;
    weight_store_settings m_settings;
    time_point m_next_start{};
    std::int64_t m_running = 0;
    std::int64_t m_most_running = 0;
    std::uint64_t m_fetches = 0;
};

} // namespace cicadahub::standin
