#pragma once

#include "decision/placement/types.hpp"
#include "http/client.hpp"

namespace cicadahub::backend
{

namespace net = boost::asio;

/// Header that carries the fencing number of an order.
inline constexpr std::string_view fencing_header = "X-Fencing-Number";

/// A server's report with the boot ID of its process.
struct engine_report
{
    placement::server_report content;
    /// Changes when the server's process restarts.
    std::string boot_id;
};

/// Sends orders to model engines and reads their reports.
class engine_client
{
public:
    engine_client(http::client_pool& pool, milliseconds order_timeout,
                  milliseconds report_timeout);

    /// Sends one order. Returns `failed` if no connection can be established,
    /// and `unknown` if the order may have arrived but no answer was received.
    net::awaitable<placement::order_result> send(http::endpoint address,
                                                 placement::order_action order);

    /// Throws `boost::system::system_error` or `malformed_document`.
    net::awaitable<engine_report> report(http::endpoint address);

private:
    http::client_pool& m_pool;
    milliseconds m_order_timeout;
    milliseconds m_report_timeout;
};

} // namespace cicadahub::backend
