#pragma once

#include "caller/request_counts.hpp"
#include "daemon/audit_log.hpp"
#include "daemon/control_plane.hpp"
#include "http/server.hpp"

namespace cicadahub::operators
{

namespace net = boost::asio;

/// Header that names the operator for the audit trail.
inline constexpr std::string_view operator_header = "X-Operator";

/// Serves the operators' API. Runs on the control plane's thread.
class operator_handler
{
public:
    using request_counts_reader = std::function<caller::request_counts_map()>;

    operator_handler(daemon::control_plane& control, daemon::audit_log& audit,
                     caller::published_state& state,
                     request_counts_reader read_request_counts);

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    net::awaitable<http::response> answer(const http::request& message);
    net::awaitable<http::response>
    answer_configuration(const http::request& message, std::string_view rest);
    net::awaitable<http::response> apply(const http::request& message,
                                         configuration::object_kind kind,
                                         std::string name,
                                         boost::json::object spec);
    http::response list_entries(configuration::object_kind kind) const;
    http::response get_entry(configuration::object_kind kind,
                             std::string_view name) const;
    http::response request_counts() const;
    http::response replicas() const;
    http::response shards() const;
    http::response members() const;
    net::awaitable<http::response> audit();

    daemon::control_plane& m_control;
    daemon::audit_log& m_audit;
    caller::published_state& m_state;
    request_counts_reader m_read_request_counts;
};

} // namespace cicadahub::operators
