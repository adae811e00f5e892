#pragma once

#include "caller/fares.hpp"
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
    using fare_reader = std::function<caller::fare_map()>;

    operator_handler(daemon::control_plane& control, daemon::audit_log& audit,
                     caller::request_state& state, fare_reader read_fares);

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
    http::response list(configuration::object_kind kind) const;
    http::response one(configuration::object_kind kind,
                       std::string_view name) const;
    http::response fares() const;
    http::response replicas() const;
    http::response shards() const;
    http::response members() const;
    net::awaitable<http::response> audit();

    daemon::control_plane& m_control;
    daemon::audit_log& m_audit;
    caller::request_state& m_state;
    fare_reader m_read_fares;
};

} // namespace cicadahub::operators
