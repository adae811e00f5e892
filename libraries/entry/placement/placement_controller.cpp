#include "entry/placement/placement_controller.hpp"

#include "core/structured_log.hpp"
#include "daemon/pause.hpp"
#include "decision/routing/allowed_regions.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadahub::entry
{

namespace
{

/// Longest and shortest time between two planning passes. A pass takes up to
/// 10 ms on a small host.
constexpr milliseconds max_plan_interval{100};
constexpr milliseconds min_plan_interval{20};
/// Shortest time between two reports of one server. A report shows the state of
/// some hundred milliseconds ago, so more frequent reports would add little.
constexpr milliseconds report_period{150};
/// The outcome of an order that is not answered within this time is unknown.
constexpr milliseconds order_timeout{1'000};
constexpr milliseconds report_timeout{1'000};
constexpr std::string_view placement_shard = "placement";
/// Delay of the first election, since a host's rank depends on the peers that
/// it knows. Hosts start within 0.3 s of one another and know each other one
/// digest later.
constexpr milliseconds first_election_delay{1'000};

ownership::lease_timing timing_of(const entry_settings& settings)
{
    // The lease duration and the observers' margin add up to the takeover time;
    // the margin is a third of it.
    const milliseconds duration = settings.placement_lease * 2 / 3;
    return {duration, duration / 4, settings.placement_lease - duration};
}

/// Rank of this host among those that may acquire the lease; it staggers their
/// attempts to acquire a free lease. Hosts with more processor time come first,
/// since the holder plans for the whole fleet.
std::uint32_t election_rank(const entry_settings& self, const fleet_view& fleet)
{
    const auto sort_key = [](double processor_share, const std::string& name)
    {
        return std::pair(-processor_share, name);
    };
    const auto own = sort_key(self.processor_share, self.name.value());
    std::uint32_t rank = 0;
    for (const auto& [name, it] : fleet.peers())
    {
        const bool is_eligible = it.digest.reaches_store &&
                                 !it.digest.is_leaving && !it.digest.is_cut_off;
        rank += is_eligible && sort_key(it.digest.processor_share, name) < own;
    }
    return rank;
}

std::string_view name_of(replicas::order_kind it)
{
    return it == replicas::order_kind::load ? "load" : "unload";
}

std::string_view name_of(replicas::order_answer it)
{
    switch (it)
    {
    case replicas::order_answer::accepted:
        return "accepted";
    case replicas::order_answer::holds:
        return "holds";
    case replicas::order_answer::conflict:
        return "conflict";
    case replicas::order_answer::refused:
        return "refused";
    case replicas::order_answer::withheld:
        return "withheld";
    case replicas::order_answer::unknown:
        break;
    }
    return "unknown";
}

replicas::copy_name copy_from(const std::string& model,
                              const std::string& adapter)
{
    replicas::copy_name it{model_id(model), std::nullopt};
    if (!adapter.empty())
    {
        it.adapter = adapter_id(adapter);
    }
    return it;
}

std::string adapter_name(const replicas::copy_name& it)
{
    return it.adapter ? it.adapter->value() : std::string();
}

} // namespace

placement_controller::placement_controller(
    net::io_context& context, http::client_pool& pool, platform::store& store,
    placement_inputs inputs, std::function<void()> on_holdings_changed)
    : m_context(context), m_pool(pool), m_inputs(std::move(inputs)),
      m_on_holdings_changed(std::move(on_holdings_changed)),
      m_shard(
          context, store, m_inputs.settings.name,
          shard_id(std::string(placement_shard)), timing_of(m_inputs.settings),
          [this]() -> std::optional<std::uint32_t>
          {
              return can_acquire_lease()
                         ? std::optional(
                               election_rank(m_inputs.settings, m_inputs.fleet))
                         : std::nullopt;
          },
          [this](epoch_number) { on_lease_acquired(); },
          [this] { m_servers.clear(); }),
      m_planner(replicas::planner_limits{}), m_timer(context)
{
}

bool placement_controller::can_acquire_lease() const
{
    if (m_inputs.fleet.placement_holder() != nullptr ||
        m_inputs.reach.is_cut_off() || m_inputs.configuration() == nullptr)
    {
        return false;
    }
    const bool was_last_holder =
        m_shard.observed().holder == m_inputs.settings.name;
    return was_last_holder ||
           monotonic_clock::now() >= m_started + first_election_delay;
}

void placement_controller::start()
{
    m_started = monotonic_clock::now();
    m_shard.start();
    net::co_spawn(m_context, run(), net::detached);
}

net::awaitable<void> placement_controller::release()
{
    m_is_stopped = true;
    co_await m_shard.release();
}

net::awaitable<void> placement_controller::resign()
{
    if (is_held())
    {
        co_await m_shard.resign();
    }
}

void placement_controller::on_holder_digest(const peer& holder)
{
    if (holder.digest.__isset.lease_version)
    {
        m_shard.on_holder_reported(daemon_id(holder.digest.sender),
                                   epoch_number(static_cast<std::uint64_t>(
                                       holder.digest.placement_epoch)),
                                   object_version(static_cast<std::uint64_t>(
                                       holder.digest.lease_version)));
    }
}

void placement_controller::on_lease_acquired()
{
    m_servers.clear();
    m_report_requested_at.clear();
    schedule_planning();
}

net::awaitable<void> placement_controller::run()
{
    while (!m_is_stopped)
    {
        const time_point now = monotonic_clock::now();
        if (is_held())
        {
            sync_servers(now);
            plan(now);
            request_due_reports(now);
        }
        co_await daemon::pause(m_context, min_plan_interval);
        if (!std::exchange(m_is_planning_scheduled, false))
        {
            m_timer.expires_after(max_plan_interval - min_plan_interval);
            co_await m_timer.async_wait(net::as_tuple(net::use_awaitable));
            m_is_planning_scheduled = false;
        }
    }
}

void placement_controller::sync_servers(time_point now)
{
    const auto configuration = m_inputs.configuration();
    for (auto& [service, servers] : m_servers)
    {
        std::erase_if(servers,
                      [&](const auto& it)
                      {
                          const auto record = m_inputs.servers.find(it.first);
                          return !record || record->entry.incarnation !=
                                                it.second.entry().incarnation;
                      });
    }
    for (const auto& [id, record] : m_inputs.servers.records())
    {
        const auto* service =
            configuration->find_service(record->entry.service);
        if (service == nullptr || !service->engine)
        {
            continue;
        }
        auto& servers = m_servers[service->name];
        const auto [known, is_new] =
            servers.try_emplace(id, replicas::server_state(record->entry, now));
        known->second.set_paused(
            record->pause.is_active(now) ||
            (record->limit.is_limited(now) && !record->accepts_orders(now)));
        known->second.set_cold(record->limit.is_cold(now));
        known->second.set_evacuated(record->is_evacuated);
        const auto region =
            m_inputs.settings.regions.find(record->entry.data_centre);
        known->second.set_region(region == m_inputs.settings.regions.end()
                                     ? std::nullopt
                                     : std::optional(region->second));
        if (is_new)
        {
            continue;
        }
        const auto pending = known->second.pending();
        if (known->second.on_entry(record->entry, now))
        {
            record_completion(*pending, now);
            log_event(severity::info, event_number::order_ended,
                      {{"server", id.value()},
                       {"seen_in", "list"},
                       {"revision", revision_of(record->entry.revision)}});
            publish_holdings(id);
        }
    }
}

void placement_controller::record_completion(const replicas::pending_order& it,
                                             time_point now)
{
    if (it.what.kind == replicas::order_kind::load)
    {
        m_inputs.metrics.observe_load(
            std::chrono::duration_cast<milliseconds>(now - it.sent_at));
    }
}

replicas::planner_view
placement_controller::view_of(const serving::engine_spec& engine,
                              server_map& servers, time_point now)
{
    replicas::planner_view view{
        engine, servers, m_inputs.waiting.pending_demand(now),
        {},     {},      m_inputs.demand.last_used(),
        {}};
    const auto add_use = [&](const replicas::copy_name& copy, double rate)
    {
        if (copy.adapter)
        {
            view.adapter_rates[copy] += rate;
            return;
        }
        view.use[copy.model].requests_per_second += rate;
    };
    for (const auto& [copy, rate] : m_inputs.demand.copy_rates(now))
    {
        add_use(copy, rate);
    }
    for (const auto& [id, state] : servers)
    {
        if (const auto record = m_inputs.servers.find(id))
        {
            for (const auto& [model, n] : record->running_models)
            {
                view.running[{id, model}] += n;
                view.use[model].running += n;
            }
        }
    }
    for (const auto& [name, peer] : m_inputs.fleet.peers())
    {
        for (const auto& it : peer.digest.wants)
        {
            replicas::pending_demand item;
            item.copy = copy_from(it.model, it.adapter);
            item.waiting = static_cast<std::uint32_t>(it.waiting);
            item.slack = milliseconds(it.slack_ms);
            if (it.__isset.version)
            {
                item.version = software_version(it.version);
            }
            if (it.__isset.allowed_regions)
            {
                item.regions = routing::regions_from(it.allowed_regions);
            }
            view.pending_demands.push_back(std::move(item));
        }
        for (const auto& it : peer.digest.usage)
        {
            add_use(copy_from(it.model, it.adapter), it.requests_per_second);
        }
        for (const auto& work : peer.digest.work)
        {
            const server_id server(work.server);
            for (const auto& [model, n] : work.models)
            {
                const auto running = static_cast<std::uint32_t>(n);
                view.running[{server, model_id(model)}] += running;
                view.use[model_id(model)].running += running;
                view.last_used[{model_id(model), std::nullopt}] =
                    peer.received_at;
            }
        }
    }
    return view;
}

void placement_controller::plan(time_point now)
{
    const work_meter::scope metered(m_inputs.work, duty::planning);
    const auto configuration = m_inputs.configuration();
    for (auto& [name, servers] : m_servers)
    {
        const auto* service = configuration->find_service(name);
        if (service == nullptr || !service->engine)
        {
            continue;
        }
        const auto view = view_of(*service->engine, servers, now);
        for (auto& it : m_planner.plan(view, now))
        {
            log_event(severity::info, event_number::order_sent,
                      {{"server", it.what.server.value()},
                       {"kind", name_of(it.what.kind)},
                       {"model", it.what.copy.model.value()},
                       {"adapter", adapter_name(it.what.copy)},
                       {"expected", it.what.expected},
                       {"epoch", m_shard.epoch().value()},
                       {"makes_room_for", it.makes_room_for
                                              ? it.makes_room_for->value()
                                              : std::string()},
                       {"from_store", it.what.is_store_load},
                       {"expected_ms", it.expected_time.count()},
                       {"wants", view.pending_demands.size()}});
            publish_holdings(it.what.server);
            net::co_spawn(m_context, send(std::move(it.what)), net::detached);
        }
    }
}

replicas::server_state* placement_controller::find(const server_id& id)
{
    for (auto& [service, servers] : m_servers)
    {
        const auto it = servers.find(id);
        if (it != servers.end())
        {
            return &it->second;
        }
    }
    return nullptr;
}

net::awaitable<void> placement_controller::send(replicas::order it)
{
    auto answer = replicas::order_answer::unknown;
    std::string reason;
    bool is_withheld = false;
    const auto record = m_inputs.servers.find(it.server);
    if (record)
    {
        const auto may_send = [&]
        {
            const time_point now = monotonic_clock::now();
            is_withheld = !is_held() || !record->accepts_orders(now);
            record->last_control = is_withheld ? record->last_control : now;
            return !is_withheld;
        };
        try
        {
            http::request message = m_inputs.dialect.make_order(
                it, m_inputs.settings.name, m_shard.epoch());
            const http::response response = co_await http::fetch(
                m_pool, record->entry.address, std::move(message),
                order_timeout, may_send);
            on_notice(*record, response, "order");
            answer = m_inputs.dialect.read_order_answer(response);
        }
        catch (const boost::system::system_error& failure)
        {
            reason = failure.code().message();
            answer = is_withheld ? replicas::order_answer::withheld : answer;
        }
    }
    if (!reason.empty() && !is_withheld)
    {
        co_await m_inputs.reach.examine(monotonic_clock::now(),
                                        reach_proof::answer);
    }
    m_inputs.metrics.count_order(name_of(answer));
    log_event(answer == replicas::order_answer::unknown ? severity::warning
                                                        : severity::info,
              event_number::order_answered,
              {{"server", it.server.value()},
               {"kind", name_of(it.kind)},
               {"model", it.copy.model.value()},
               {"adapter", adapter_name(it.copy)},
               {"expected", it.expected},
               {"answer", name_of(answer)},
               {"reason", reason}});
    auto* state = find(it.server);
    if (state != nullptr && state->entry().incarnation == it.incarnation)
    {
        state->on_answer(it, answer, monotonic_clock::now());
        publish_holdings(it.server);
    }
    schedule_planning();
}

void placement_controller::on_notice(server_record& record,
                                     const http::response& answer,
                                     std::string_view source)
{
    const serving::server_entry& entry = record.entry;
    const server_notice it = m_inputs.dialect.read_notice(answer, entry.id);
    m_inputs.on_notice(record, it);
    if (it.is_leaving &&
        m_inputs.servers.on_leaving(entry.id, entry.incarnation, source))
    {
        m_inputs.on_server_leaving();
    }
    if (!it.pause)
    {
        return;
    }
    const double draw = std::uniform_real_distribution<>()(m_inputs.random);
    if (record.pause.on_requested(monotonic_clock::now(), *it.pause, draw))
    {
        log_event(severity::info, event_number::server_paused,
                  {{"server", entry.id.value()},
                   {"seen_in", source},
                   {"incarnation", entry.incarnation},
                   {"pause_ms", it.pause->count()}});
    }
}

void placement_controller::request_due_reports(time_point now)
{
    for (auto& [service, servers] : m_servers)
    {
        for (auto& [id, state] : servers)
        {
            const bool is_due = state.pending() &&
                                state.pending()->is_accepted &&
                                now >= state.pending()->due_at;
            const auto record = m_inputs.servers.find(id);
            if ((state.is_confirmed() && !is_due) || state.awaits_answer() ||
                now < m_report_requested_at[id] + report_period || !record ||
                !record->accepts_orders(now))
            {
                continue;
            }
            m_report_requested_at[id] = now;
            net::co_spawn(m_context, fetch_report(id), net::detached);
        }
    }
}

net::awaitable<void> placement_controller::fetch_report(server_id id)
{
    const auto record = m_inputs.servers.find(id);
    if (!record)
    {
        co_return;
    }
    const time_point asked_at = monotonic_clock::now();
    bool has_failed = false;
    bool is_withheld = false;
    const auto may_send = [&]
    {
        const time_point now = monotonic_clock::now();
        is_withheld = !record->accepts_orders(now);
        record->last_control = is_withheld ? record->last_control : now;
        return !is_withheld;
    };
    try
    {
        http::request message = m_inputs.dialect.make_report_request(id);
        const http::response response =
            co_await http::fetch(m_pool, record->entry.address,
                                 std::move(message), report_timeout, may_send);
        on_notice(*record, response, "report");
        if (response.result() == http::status::service_unavailable &&
            record->pause.is_active(monotonic_clock::now()))
        {
            co_return;
        }
        const auto report = m_inputs.dialect.read_report(response);
        auto* state = find(id);
        if (state == nullptr ||
            state->entry().incarnation != record->entry.incarnation)
        {
            co_return;
        }
        const time_point now = monotonic_clock::now();
        if (report.orders_accepted >= state->orders_accepted())
        {
            const auto pending = state->pending();
            const bool has_changed = state->on_report(report, asked_at, now);
            if (pending && !state->pending())
            {
                record_completion(*pending, now);
                log_event(severity::info, event_number::order_ended,
                          {{"server", id.value()},
                           {"seen_in", "report"},
                           {"orders_accepted", report.orders_accepted}});
            }
            if (has_changed)
            {
                publish_holdings(id);
            }
            schedule_planning();
        }
    }
    catch (const std::exception& reason)
    {
        if (is_withheld)
        {
            co_return;
        }
        has_failed = true;
        log_event(severity::warning, event_number::server_unreachable,
                  {{"server", id.value()}, {"reason", reason.what()}});
    }
    if (has_failed)
    {
        co_await m_inputs.reach.examine(monotonic_clock::now(),
                                        reach_proof::answer);
    }
}

} // namespace cicadahub::entry
