#pragma once

#include "caller/request_handler.hpp"
#include "daemon/audit_log.hpp"
#include "daemon/control_plane.hpp"
#include "operators/operator_handler.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <thread>

namespace cicadahub::daemon
{

/// The daemon cannot listen on a configured address.
class listen_error : public error
{
public:
    listen_error(std::string setting, const std::string& reason)
        : error(reason), m_setting(std::move(setting))
    {
    }

    /// Name of the setting that holds the address.
    const std::string& setting() const { return m_setting; }

private:
    std::string m_setting;
};

/// The daemon process: its threads, its listeners and its graceful shutdown.
class entry_daemon
{
public:
    /// Binds every address; throws `listen_error` naming the setting.
    explicit entry_daemon(const settings::daemon_settings& settings);
    ~entry_daemon();

    /// Serves until SIGTERM or SIGINT, then drains; returns when all accepted
    /// requests have been answered or the drain limit has passed.
    void run();

private:
    using handler = caller::request_handler<control_plane>;

    /// A thread that serves requests, with its own connection pool.
    struct worker
    {
        worker(entry_daemon& owner);

        net::io_context context{1};
        http::client_pool pool;
        handler requests;
        std::thread thread;
    };

    net::awaitable<void> drain();
    void start_threads();
    void stop_threads();
    caller::request_counts_map read_request_counts() const;
    http::server_limits caller_limits() const;
    std::vector<http::server_lane<handler>> lanes();

    const settings::daemon_settings& m_settings;
    caller::published_state m_state;
    prometheus::Registry m_registry;
    caller::request_metrics m_metrics;
    caller::concurrency_limiter_table m_limiters;
    net::io_context m_control_context{1};
    control_plane m_control;
    audit_log m_audit;
    std::vector<std::unique_ptr<worker>> m_workers;
    operators::operator_handler m_operators;
    std::unique_ptr<http::server<handler>> m_caller_server;
    std::unique_ptr<http::server<operators::operator_handler>>
        m_operator_server;
    net::signal_set m_signals;
};

} // namespace cicadahub::daemon
