#include "daemon/daemon.hpp"

#include "core/event_log.hpp"
#include "daemon/pause.hpp"

#include <csignal>

namespace cicadahub::daemon
{

namespace
{

constexpr std::size_t idle_connections_per_server = 256;
constexpr milliseconds drain_poll{20};

backend::relay_limits relay_limits_of(const settings::daemon_settings& it)
{
    return {it.backend_gap_limit, it.backend_answer_limit};
}

/// Answers of the services behind a daemon, such as lists of embeddings, may be
/// large.
constexpr http::response_limits backend_responses{
    .body_bytes = 64 * 1024 * 1024,
    .held_bytes = 256 * 1024 * 1024,
    .stream_bytes = 256 * 1024 * 1024};

/// Runs `bind`; throws a `listen_error` naming the setting if it fails.
template<class Bind>
auto bind_or_throw(const char* setting, const std::string& address, Bind bind)
{
    try
    {
        return bind();
    }
    catch (const boost::system::system_error& reason)
    {
        throw listen_error(setting, address + ": " + reason.code().message());
    }
}

} // namespace

entry_daemon::worker::worker(entry_daemon& owner)
    : pool(context, owner.m_settings.backend_connect_timeout,
           idle_connections_per_server, backend_responses),
      requests(context, owner.m_state, owner.m_control, owner.m_registry,
               owner.m_metrics, owner.m_limiters, pool,
               relay_limits_of(owner.m_settings))
{
}

entry_daemon::entry_daemon(const settings::daemon_settings& settings)
    : m_settings(settings), m_metrics(m_registry),
      m_limiters({static_cast<std::size_t>(settings.queue_requests),
                  settings.queue_bytes}),
      m_control(m_control_context, settings, m_state),
      m_audit(m_control_context, m_control.store(),
              m_control.members().self().value()),
      m_operators(m_control, m_audit, m_state,
                  [this] { return read_request_counts(); }),
      m_signals(m_control_context, SIGTERM, SIGINT)
{
    for (std::int64_t n = 0; n < settings.worker_threads; ++n)
    {
        m_workers.push_back(std::make_unique<worker>(*this));
    }
    bind_or_throw("listen.fleet", settings.fleet_address,
                  [&] { m_control.bind(); });
    m_caller_server =
        bind_or_throw("listen.callers", settings.callers_address,
                      [&]
                      {
                          return std::make_unique<http::server<handler>>(
                              http::parse_endpoint(settings.callers_address),
                              caller_limits(), lanes());
                      });
    m_operator_server = bind_or_throw(
        "listen.operators", settings.operators_address,
        [&]
        {
            using server = http::server<operators::operator_handler>;
            return std::make_unique<server>(
                http::parse_endpoint(settings.operators_address),
                http::server_limits{},
                std::vector<server::lane>{{m_control_context, m_operators}});
        });
    m_control.set_audit_handler([this](audit_entry it)
                                { m_audit.append(std::move(it)); });
    m_control.set_withdraw_handler(
        [this](const key_hash& hash)
        {
            for (const auto& it : m_workers)
            {
                it->requests.withdraw(hash);
            }
        });
}

entry_daemon::~entry_daemon()
{
    stop_threads();
}

std::vector<http::server_lane<entry_daemon::handler>> entry_daemon::lanes()
{
    std::vector<http::server_lane<handler>> lanes;
    for (const auto& it : m_workers)
    {
        lanes.push_back({it->context, it->requests});
    }
    return lanes;
}

http::server_limits entry_daemon::caller_limits() const
{
    http::server_limits limits;
    limits.header_bytes = static_cast<std::uint32_t>(m_settings.header_bytes);
    limits.body_bytes = static_cast<std::uint64_t>(m_settings.body_bytes);
    limits.read_timeout = m_settings.read_timeout;
    limits.idle_timeout = m_settings.idle_timeout;
    return limits;
}

caller::request_counts_map entry_daemon::read_request_counts() const
{
    caller::request_counts_map sum;
    for (const auto& it : m_workers)
    {
        it->requests.counter().add_to(sum);
    }
    return sum;
}

void entry_daemon::run()
{
    m_control.start();
    m_audit.start();
    m_caller_server->start();
    m_operator_server->start();
    m_signals.async_wait(
        [this](boost::system::error_code ec, int)
        {
            if (!ec)
            {
                net::co_spawn(m_control_context, drain(), net::detached);
            }
        });
    CICADAHUB_EVENT(INFO, daemon_started)
        << "daemon=" << m_control.members().self()
        << " callers=" << m_settings.callers_address;
    start_threads();
    m_control_context.run();
    stop_threads();
    CICADAHUB_EVENT(INFO, daemon_stopped)
        << "daemon=" << m_control.members().self();
}

void entry_daemon::start_threads()
{
    for (const auto& it : m_workers)
    {
        it->thread = std::thread(
            [&context = it->context]
            {
                const auto work = net::make_work_guard(context);
                context.run();
            });
    }
}

void entry_daemon::stop_threads()
{
    for (const auto& it : m_workers)
    {
        it->context.stop();
        if (it->thread.joinable())
        {
            it->thread.join();
        }
    }
}

net::awaitable<void> entry_daemon::drain()
{
    CICADAHUB_EVENT(INFO, drain_began)
        << "daemon=" << m_control.members().self();
    const time_point limit = monotonic_clock::now() + m_settings.drain_limit;
    m_state.is_draining = true;
    m_caller_server->begin_drain();
    // Release the shards first, so that other daemons take them over while
    // this one finishes its requests.
    co_await m_control.release_shards();
    co_await pause(m_control_context, m_settings.drain_notice);
    m_caller_server->stop_accepting();
    while (m_caller_server->busy_count() > 0 && monotonic_clock::now() < limit)
    {
        co_await pause(m_control_context, drain_poll);
    }
    co_await m_audit.flush();
    co_await m_control.leave();
    m_control_context.stop();
}

} // namespace cicadahub::daemon
