#include "entry/entry_daemon.hpp"

#include "core/json_reader.hpp"
#include "core/structured_log.hpp"
#include "daemon/pause.hpp"
#include "entry/servers/crash_notices.hpp"

#include <csignal>

namespace cicadahub::entry
{

namespace
{

using daemon::pause;

constexpr std::size_t idle_connections = 4;
/// Answers to orders and reports name no request: on a connection that carried
/// another one, a late second response to that could be taken for them.
constexpr std::size_t idle_order_connections = 0;
/// The pools for control traffic together hold at most 3/16 of the host's
/// memory, callers' requests 5/8. Reports and answers to orders are small, and
/// relayed lists come one at a time.
constexpr std::size_t platform_memory_part = 8;
constexpr std::size_t control_memory_part = 32;
constexpr std::size_t most_control_bytes = 8 * 1024 * 1024;
/// The store answers within milliseconds; a call that times out is retried well
/// within the 2 s in which a change must reach every daemon.
constexpr platform::client_timing store_timing{milliseconds(600),
                                               milliseconds(3'000)};
/// What a relayed request has in its head beside the caller's fields.
constexpr std::uint32_t relay_header_bytes = 4 * 1024;
/// Probes and scrapes have no body.
constexpr std::uint64_t readiness_body_bytes = 4 * 1024;
constexpr std::string_view metrics_path = "/metrics";
/// Requests that arrive at a host that stood still wait this long at most for
/// its configuration to be confirmed: many round trips to the store, and little
/// against the time for which they waited already.
constexpr milliseconds longest_confirmation{300};
/// Interval between reads of the list of members. Starting hosts announce
/// themselves by digest; the list covers announcements that were lost.
constexpr milliseconds member_list_period{30'000};
constexpr milliseconds retry_pause{300};
/// Pause after a list of which the store withholds later pages: each costs a
/// call for every page before.
constexpr milliseconds incomplete_list_pause{10'000};
/// The balancer probes every second and removes a daemon after two failures.
constexpr milliseconds balancer_detection_delay{2'600};
constexpr milliseconds drain_poll_period{20};
/// Queued requests are refused this long before the end of the drain, so that
/// their responses can still be sent.
constexpr milliseconds refusal_reserve{300};
/// Part of the grace period reserved for the process to exit by itself.
constexpr milliseconds exit_reserve{700};

http::response_limits platform_responses(const entry_settings& settings)
{
    http::response_limits it;
    it.held_bytes =
        std::min(it.held_bytes, settings.memory_bytes / platform_memory_part);
    return it;
}

http::response_limits control_responses(const entry_settings& settings)
{
    http::response_limits it;
    it.held_bytes = std::min(most_control_bytes,
                             settings.memory_bytes / control_memory_part);
    return it;
}

http::server_limits readiness_limits()
{
    http::server_limits it;
    it.body_bytes = readiness_body_bytes;
    return it;
}

} // namespace

net::awaitable<void> readiness_handler::serve(http::request& message,
                                              http::reply_writer& reply)
{
    if (message.target() == metrics_path)
    {
        co_await reply.send(http::metrics_response(m_metrics.text()));
        co_return;
    }
    http::response answer{m_is_ready() ? http::status::ok
                                       : http::status::service_unavailable,
                          11};
    answer.prepare_payload();
    co_await reply.send(std::move(answer));
}

entry_daemon::entry_daemon(entry_settings settings, platform_dialects dialects,
                           reload_handler reload)
    : m_settings(std::move(settings)), m_dialects(dialects),
      m_reload(std::move(reload)),
      m_state(m_context, m_settings, dialects.documents, m_deferred.executor()),
      m_bounds(m_state),
      m_platform_pool(m_context, connect_timeout, idle_connections,
                      platform_responses(m_settings)),
      m_order_pool(m_context, connect_timeout, idle_order_connections,
                   control_responses(m_settings)),
      m_peer_pool(m_context, connect_timeout, 1, control_responses(m_settings)),
      m_store(m_platform_pool, m_settings.store, store_timing, dialects.store,
              [this] { on_store_restored(); }),
      m_placement(m_context, m_order_pool, m_store,
                  {m_settings, dialects.servers, m_state.servers, m_state.fleet,
                   m_state.demand, m_state.waiting, m_state.metrics,
                   [this] { return m_state.configuration; }, m_state.random,
                   m_state.reach, [this] { m_state.on_server_leaving(); },
                   [this](server_record& server, const server_notice& it)
                   { m_state.on_server_notice(server, it); },
                   m_state.work},
                  [this]
                  {
                      m_digests.send_update_soon();
                      m_state.waiting.wake_all();
                  }),
      m_digests(
          m_state,
          [this](fleet::wire::Digest& it, time_point now)
          {
              m_mirror.fill(it);
              m_placement.fill(it, now);
          },
          [this](const peer& it) { on_digest(it); },
          [this] { return m_placement.is_held(); }),
      m_relay(m_state, dialects.callers, dialects.servers, m_objects),
      m_requests(m_state, dialects.callers, dialects.servers),
      m_readiness([this] { return is_ready(); }, m_state.metrics),
      m_caller_server(m_settings.callers, limits_of({}),
                      {{m_context, m_requests, m_deferred.executor()}},
                      m_bounds.callers()),
      m_readiness_server(m_settings.readiness, readiness_limits(),
                         {{m_context, m_readiness, m_deferred.executor()}},
                         m_bounds.readiness()),
      m_relay_server(m_settings.fleet, http::server_limits{},
                     {{m_context, m_relay, m_deferred.executor()}},
                     m_bounds.peers()),
      m_mirror(m_state, m_store, m_peer_pool, m_objects,
               {[this](const platform::stored_object& it,
                       const configuration_origin& origin)
                { on_configuration(it, origin); },
                [this] { on_servers_changed(); },
                [this]
                {
                    log_first_readiness();
                    m_placement.schedule_planning();
                },
                [this] { m_digests.send_update_to_all_soon(); },
                [this]
                {
                    return m_placement.is_held();
                }}),
      m_versions(m_context, m_store, m_state.continuity,
                 {[this] { return m_placement.is_held(); },
                  [this]
                  {
                      return m_placement.epoch().value() ==
                             epoch_floor(m_store.era()).value() + 1;
                  },
                  [this]
                  {
                      return m_state.is_draining;
                  }}),
      m_stream_record(
          m_context, m_store, m_state.continuity,
          [this] { return m_placement.is_held(); },
          [this] { return m_state.is_draining; }),
      m_notices(m_context, m_store, m_state,
                {[this] { return m_placement.is_held(); },
                 [this] { return m_state.is_draining; },
                 [this]
                 {
                     log_first_readiness();
                 }}),
      m_new_starts(m_state, m_dialects.servers),
      m_loop_monitor(m_state, m_deferred.executor()),
      m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
      m_started(monotonic_clock::now())
{
    m_state.send_update_to_all_soon = [this]
    {
        m_digests.send_update_to_all_soon();
    };
    m_state.send_next_update_to_all = [this]
    {
        m_digests.send_next_update_to_all();
    };
    m_state.continuity.set_handlers(
        {[this](const fleet::wire::Digest& message, const http::endpoint& to)
         { m_digests.send_streams(message, to); },
         [this] { return m_stream_record.read(); },
         [this]
         {
             return m_placement.is_held();
         }});
    m_state.on_server_leaving = [this]
    {
        m_digests.send_update_to_all_soon();
        m_placement.schedule_planning();
    };
    m_state.waiting.set_change_handler(
        [this]
        {
            m_digests.send_update_soon();
            m_placement.schedule_planning();
        });
}

bool entry_daemon::is_ready() const
{
    return m_state.configuration && m_state.has_servers &&
           m_state.are_limits_known && m_state.are_evacuations_known &&
           !m_state.is_draining;
}

void entry_daemon::log_first_readiness()
{
    if (!m_was_ready && is_ready())
    {
        m_was_ready = true;
        const auto took = std::chrono::duration_cast<milliseconds>(
            monotonic_clock::now() - m_started);
        log_event(severity::info, event_number::daemon_ready,
                  {{"after_ms", took.count()},
                   {"configuration", m_state.configuration->version},
                   {"servers", m_state.servers.records().size()}});
    }
}

http::server_limits
entry_daemon::limits_of(const serving::caller_limits& it) const
{
    http::server_limits limits;
    limits.header_bytes = it.header_bytes;
    limits.body_bytes = it.body_bytes;
    limits.read_timeout = it.read_timeout;
    limits.idle_timeout = it.idle_timeout;
    return limits;
}

void entry_daemon::on_configuration(const platform::stored_object& it,
                                    const configuration_origin& origin)
{
    if (it.name != m_dialects.documents.configuration_name || it.is_deleted)
    {
        return;
    }
    if (m_state.configuration && it.version <= m_state.configuration->revision)
    {
        return;
    }
    try
    {
        auto next = std::make_shared<const serving::configuration>(
            m_dialects.documents.read_configuration(it));
        if (m_state.configuration &&
            next->version < m_state.configuration->version)
        {
            // A store that was restored has an older one until the operators
            // write theirs again.
            log_event(severity::warning, event_number::configuration_refused,
                      {{"configuration", next->version},
                       {"known", m_state.configuration->version},
                       {"era", era_of(it.version).value()},
                       {"revision", revision_of(it.version)}});
            return;
        }
        log_event(severity::info, event_number::configuration_applied,
                  {{"configuration", next->version},
                   {"era", era_of(next->revision).value()},
                   {"revision", revision_of(next->revision)},
                   {"routes", next->routes.size()},
                   {"organisations", next->organisations.size()},
                   {"source", origin.source},
                   {"behind_ms", origin.behind.count()}});
        m_state.metrics.observe_configuration_delay(origin.behind);
        m_caller_server.set_limits(limits_of(next->limits));
        http::server_limits relay_limits = limits_of(next->limits);
        relay_limits.header_bytes += relay_header_bytes;
        relay_limits.idle_timeout = http::server_limits{}.idle_timeout;
        m_relay_server.set_limits(relay_limits);
        m_state.configuration = std::move(next);
        m_state.continuity.on_configuration(*m_state.configuration);
        m_state.update_rate_shares(monotonic_clock::now());
        m_state.update_cold_servers(monotonic_clock::now());
        m_state.waiting.wake_all();
        log_first_readiness();
    }
    catch (const std::exception& reason)
    {
        log_event(severity::error, event_number::malformed_object,
                  {{"collection", "configurations"},
                   {"object", it.name},
                   {"version", revision_of(it.version)},
                   {"reason", reason.what()}});
    }
}

void entry_daemon::on_store_restored()
{
    m_placement.on_store_restored();
    // The copy may lack this host's entry.
    net::co_spawn(m_context, register_member(), net::detached);
}

void entry_daemon::on_servers_changed()
{
    m_state.has_servers = true;
    m_state.continuity.on_servers_changed();
    log_first_readiness();
    m_placement.schedule_planning();
    m_state.waiting.wake_all();
}

void entry_daemon::on_stall(milliseconds stalled)
{
    log_event(severity::warning, event_number::loop_stalled,
              {{"stalled_ms", stalled.count()},
               {"configuration",
                m_state.configuration ? m_state.configuration->version : 0}});
    m_digests.on_stall(monotonic_clock::now());
    m_deferred.hold_until(monotonic_clock::now() + longest_confirmation);
    m_mirror.confirm([this] { m_deferred.release(); });
}

void entry_daemon::on_reach_changed()
{
    m_digests.send_update_to_all_soon();
    if (m_state.reach.is_cut_off())
    {
        net::co_spawn(m_context, m_placement.resign(), net::detached);
    }
    m_state.waiting.wake_all();
}

net::awaitable<void> entry_daemon::watch_dispatched()
{
    constexpr milliseconds period{100};
    while (true)
    {
        co_await pause(m_context, period);
        m_state.clear_by_lasting(monotonic_clock::now());
    }
}

net::awaitable<void> entry_daemon::tell_contact(http::endpoint asked_by)
{
    const bool has_contact = co_await m_state.reach.confirm_contact();
    if (has_contact)
    {
        m_digests.send_digest_to(asked_by);
    }
}

void entry_daemon::on_digest(const peer& it)
{
    m_mirror.on_digest(it);
    apply_crash_notices(it, m_state.suspects, m_state.crashing_parts);
    if (it.digest.__isset.server_contact_age_ms)
    {
        m_state.reach.on_contact_elsewhere(
            it.received_at - milliseconds(it.digest.server_contact_age_ms));
    }
    if (it.digest.asks_for_contact)
    {
        net::co_spawn(m_context, tell_contact(it.address), net::detached);
    }
    if (it.digest.traffic_ms > 0)
    {
        m_state.on_traffic(it.received_at -
                           milliseconds(it.digest.traffic_ms - 1));
    }
    for (const auto& limited : it.digest.limited_servers)
    {
        m_state.on_limit_notice(limited, it);
    }
    for (const auto& leaving : it.digest.leaving_servers)
    {
        const bool is_news = m_state.servers.on_leaving(
            server_id(leaving.server), leaving.incarnation, "peer",
            it.digest.watches_store);
        if (is_news)
        {
            m_placement.schedule_planning();
        }
    }
    if (m_placement.is_held() || it.digest.__isset.placement_epoch)
    {
        m_state.on_fleet_work(m_placement.is_held());
    }
    m_state.update_occupancy(monotonic_clock::now());
    if (m_holder == it.digest.sender && !it.digest.__isset.placement_epoch)
    {
        m_holder.clear();
        m_placement.on_holder_released();
    }
    if (it.digest.__isset.placement_epoch)
    {
        const bool is_new_holder = m_holder != it.digest.sender;
        m_holder = it.digest.sender;
        if (is_new_holder)
        {
            m_state.continuity.on_recorder_changed();
        }
        m_placement.on_holder_digest(it);
        if (!m_placement.is_held())
        {
            apply_published_holdings(it);
        }
    }
    if (m_placement.is_held() && !it.digest.wants.empty())
    {
        m_placement.schedule_planning();
    }
}

void entry_daemon::apply_published_holdings(const peer& holder)
{
    for (const auto& it : holder.digest.holdings)
    {
        published_holdings published;
        published.incarnation = it.incarnation;
        for (const auto& [model, adapters] : it.models)
        {
            auto& names = published.models[model_id(model)];
            for (const std::string& adapter : adapters)
            {
                names.insert(adapter_id(adapter));
            }
        }
        if (!it.loading.empty())
        {
            published.loading = model_id(it.loading);
            published.loaded_at =
                holder.received_at + milliseconds(it.loading_ms);
        }
        m_state.servers.on_published(server_id(it.server),
                                     std::move(published));
    }
    m_state.waiting.wake_all();
}

net::awaitable<void> entry_daemon::register_member()
{
    const std::string name = m_settings.name.value();
    const boost::json::object spec{
        {"address", http::to_string(m_settings.fleet)}};
    while (!m_state.is_draining)
    {
        try
        {
            auto stored =
                co_await m_store.read(platform::collection::members, name);
            if (stored && stored->spec == spec)
            {
                co_return;
            }
            if (!stored)
            {
                stored.emplace();
                stored->name = name;
            }
            const auto written = co_await m_store.write(
                platform::collection::members, std::move(*stored), spec);
            if (written.outcome == platform::write_outcome::applied)
            {
                co_return;
            }
        }
        catch (const error& reason)
        {
            log_event(severity::warning, event_number::platform_unreachable,
                      {{"collection", "members"}, {"reason", reason.what()}});
        }
        co_await pause(m_context, retry_pause);
    }
}

void entry_daemon::add_member(const platform::stored_object& it)
{
    try
    {
        m_digests.add_address(
            http::parse_endpoint(json_reader(it.spec).text("address")));
    }
    catch (const malformed_document& reason)
    {
        log_event(severity::warning, event_number::malformed_object,
                  {{"collection", "members"},
                   {"object", it.name},
                   {"reason", reason.what()}});
    }
}

net::awaitable<void> entry_daemon::follow_members()
{
    co_await register_member();
    while (!m_state.is_draining)
    {
        milliseconds next = member_list_period;
        try
        {
            const auto all =
                co_await m_store.list(platform::collection::members);
            for (const platform::stored_object& it : all.objects)
            {
                add_member(it);
            }
            m_state.fleet.on_members_listed();
        }
        catch (const platform::incomplete_list& reason)
        {
            // The others may be known by their digests, or to a later list.
            for (const platform::stored_object& it : reason.read().objects)
            {
                add_member(it);
            }
            next = incomplete_list_pause;
            log_event(severity::warning, event_number::list_incomplete,
                      {{"collection", "members"},
                       {"objects", reason.read().objects.size()},
                       {"next_list_ms", next.count()},
                       {"reason", reason.what()}});
        }
        catch (const error& reason)
        {
            next = retry_pause;
            log_event(severity::warning, event_number::platform_unreachable,
                      {{"collection", "members"}, {"reason", reason.what()}});
        }
        co_await pause(m_context, next);
    }
}

void entry_daemon::wait_for_signal()
{
    m_signals.async_wait(
        [this](boost::system::error_code ec, int number)
        {
            if (ec)
            {
                return;
            }
            if (number != SIGHUP)
            {
                net::co_spawn(m_context, drain(), net::detached);
                return;
            }
            const auto next = m_reload();
            log_event(next ? severity::info : severity::error,
                      event_number::settings_reloaded,
                      {{"is_good", next.has_value()}});
            if (next)
            {
                for (const http::endpoint& it : next->seed_hosts)
                {
                    m_digests.add_address(it);
                }
            }
            wait_for_signal();
        });
}

void entry_daemon::run()
{
    wait_for_signal();
    m_mirror.start();
    m_placement.start();
    m_digests.start();
    m_versions.start();
    m_loop_monitor.start();
    m_stream_record.start();
    m_notices.start();
    m_new_starts.start();
    m_state.reach.start(m_dialects.servers.make_report_request,
                        [this] { on_reach_changed(); });
    net::co_spawn(m_context, watch_dispatched(), net::detached);
    net::co_spawn(m_context, follow_members(), net::detached);
    m_relay_server.start();
    m_caller_server.start();
    m_readiness_server.start();
    log_event(severity::info, event_number::daemon_started,
              {{"version", CICADAHUB_VERSION},
               {"callers", http::to_string(m_settings.callers)},
               {"fleet", http::to_string(m_settings.fleet)},
               {"store", http::to_string(m_settings.store)}});
    m_deferred.on_stall([this](milliseconds it) { on_stall(it); });
    m_deferred.run();
    log_event(severity::info, event_number::daemon_stopped,
              {{"dropped_log_lines", dropped_log_lines()}});
}

net::awaitable<void> entry_daemon::drain()
{
    log_event(severity::info, event_number::drain_began,
              {{"running", m_caller_server.busy_count()}});
    const time_point began = monotonic_clock::now();
    const time_point limit = began + m_settings.stop_grace - exit_reserve;
    m_state.is_draining = true;
    m_state.accept_deadline = began + balancer_detection_delay;
    m_state.wait_deadline = limit - refusal_reserve;
    m_caller_server.begin_drain();
    m_relay_server.begin_drain();
    co_await m_placement.release();
    m_digests.send_digest();
    while (monotonic_clock::now() < began + balancer_detection_delay)
    {
        co_await pause(m_context, drain_poll_period);
    }
    m_caller_server.stop_accepting();
    const auto is_busy = [&]
    {
        return m_caller_server.busy_count() + m_relay_server.busy_count() > 0;
    };
    while (is_busy() && monotonic_clock::now() < limit)
    {
        co_await pause(m_context, drain_poll_period);
    }
    m_context.stop();
}

} // namespace cicadahub::entry
