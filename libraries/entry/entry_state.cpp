#include "entry/entry_state.hpp"

#include "core/structured_log.hpp"

namespace cicadahub::entry
{

namespace
{

constexpr std::size_t idle_connections_per_server = 32;
/// A crash counts against every request that was running on the server: two
/// crashes in a row can be a coincidence, three are unlikely to be one.
constexpr std::uint32_t max_crashes = 3;
constexpr milliseconds suspect_retention{600'000};
constexpr std::size_t max_suspects = 10'000;
/// Fraction of the quota slack that compensates for the uneven distribution of
/// requests over the hosts; the rest covers partitions between hosts.
constexpr double slack_share_for_imbalance = 0.7;

/// After its start a host has heard of all others that it can hear of within
/// this time, unless they are too many for a digest a second.
constexpr milliseconds first_reports_time{1'000};

/// All hosts order themselves in the same way, differently for each server.
std::pair<std::size_t, std::string> rank_of(const std::string& host,
                                            const server_record& server)
{
    return {std::hash<std::string>{}(host + '|' + server.entry.id.value()),
            host};
}

} // namespace

entry_state::entry_state(net::io_context& io, const entry_settings& given,
                         const document_dialect& documents)
    : context(io), settings(given), servers(documents), waiting(io),
      suspects(suspicion::suspicion_limits{max_crashes, suspect_retention,
                                           max_suspects}),
      pool(io, connect_timeout, idle_connections_per_server),
      reach(io, pool, servers, random), continuity(io, servers, fleet)
{
}

void entry_state::update_rate_shares(time_point now)
{
    if (!configuration)
    {
        return;
    }
    const std::size_t hosts = fleet.host_count(now);
    for (auto& [name, budget] : retry_budgets)
    {
        budget.set_extra(settings.retry_budget_extra /
                         static_cast<double>(hosts));
    }
    sharing::demand_view view;
    view.hosts = hosts;
    view.has_all_reports = fleet.is_complete(now);
    view.slack = static_cast<std::int64_t>(
        slack_share_for_imbalance * static_cast<double>(settings.quota_slack));
    for (const auto& [name, it] : configuration->organisations)
    {
        if (!it.rate)
        {
            rates.erase(name);
            continue;
        }
        const double own = demand.tokens_per_second(name, now);
        const double all = own + fleet.demand_of_others(name, own, now);
        view.share = sharing::share_of_demand(own, all, hosts);
        view.is_below_rate = all < it.rate->tokens_per_second;
        view.spent_elsewhere = fleet.spent_by_others(name);
        const auto known = rates.find(name);
        if (known == rates.end())
        {
            rates.emplace(name, sharing::fleet_rate(*it.rate, view, now));
        }
        else
        {
            known->second.set(*it.rate, view, now);
        }
    }
}

std::optional<suspicion::part_fingerprint> entry_state::find_crashing_part(
    const std::vector<suspicion::part_fingerprint>& parts, time_point now)
{
    auto found = crashing_parts.find_refused(parts, now);
    for (const auto& it : crashing_parts.take_new_causes())
    {
        log_event(severity::warning, event_number::prompt_part_refused,
                  {{"part", it.value()}, {"seen_by", settings.name.value()}});
    }
    return found;
}

void entry_state::on_server_notice(server_record& server,
                                   const server_notice& it)
{
    on_brittle_notice(server, it);
    if (it.is_from_server)
    {
        on_limit(server, it.rate_limit, monotonic_clock::now(),
                 settings.name.value());
    }
}

void entry_state::on_limit_notice(const fleet::wire::LimitedServer& it,
                                  const peer& from)
{
    const auto record =
        servers.find_incarnation(server_id(it.server), it.incarnation);
    if (!record)
    {
        return;
    }
    const auto limit = it.__isset.requests_per_second
                           ? std::optional(it.requests_per_second)
                           : std::nullopt;
    on_limit(*record, limit, from.received_at - milliseconds(it.age_ms),
             from.digest.sender);
}

void entry_state::on_limit(server_record& server, std::optional<double> limit,
                           time_point heard_at, const std::string& seen_by)
{
    if (!server.limit.on_answer(limit, heard_at, monotonic_clock::now()))
    {
        return;
    }
    const bool is_own = seen_by == settings.name.value();
    log_event(severity::info, event_number::server_limited,
              {{"server", server.entry.id.value()},
               {"incarnation", server.entry.incarnation},
               {"is_limited", limit.has_value()},
               {"requests_per_second", limit.value_or(0)},
               {"sender", limit_sender(server)},
               {"seen_by", seen_by}});
    if (is_own)
    {
        send_update_to_all_soon();
    }
    waiting.wake_all();
}

void entry_state::on_brittle_notice(const server_record& server,
                                    const server_notice& it)
{
    const service_id& service = server.entry.service;
    if (!it.is_from_server ||
        (!it.brittle_limit && !brittle_services.contains(service)))
    {
        return;
    }
    const time_point now = monotonic_clock::now();
    sharing::brittle_service& known = brittle_services[service];
    const auto before = known.limit(now);
    known.on_answer(server.entry.id, it.brittle_limit, now);
    const auto after = known.limit(now);
    if (before != after)
    {
        log_event(severity::info, event_number::service_brittle,
                  {{"service", service.value()},
                   {"server", server.entry.id.value()},
                   {"is_brittle", after.has_value()},
                   {"limit", after.value_or(0)},
                   {"hosts", fleet.host_count(now)}});
    }
}

sharing::host_position entry_state::position_of(const daemon_id& host,
                                                const server_record& server,
                                                std::uint32_t limit,
                                                time_point now) const
{
    sharing::host_position it{fleet.host_count(now), 0};
    if (limit >= it.hosts)
    {
        return it;
    }
    const auto own = rank_of(host.value(), server);
    for (const auto& [name, peer] : fleet.peers())
    {
        it.rank += rank_of(name, server) < own ? 1 : 0;
    }
    it.rank += rank_of(settings.name.value(), server) < own ? 1 : 0;
    return it;
}

bool entry_state::may_send(server_record& server, const request_id& request,
                           time_point now)
{
    const bool is_withheld = server.limit.is_limited(now) &&
                             (limit_sender(server) != settings.name.value() ||
                              limit_wait(server, request, now).count() > 0);
    if (is_withheld)
    {
        return false;
    }
    const auto known = brittle_services.find(server.entry.service);
    if (known == brittle_services.end())
    {
        return true;
    }
    const auto limit = known->second.limit(now);
    return !limit || known->second.may_send(
                         server.entry.id,
                         position_of(settings.name, server, *limit, now), now);
}

void entry_state::on_sent(server_record& server, const request_id& request,
                          time_point now)
{
    if (server.limit.is_limited(now))
    {
        server.limit.on_sent(request, now);
    }
}

std::string entry_state::limit_sender(const server_record& server) const
{
    std::pair<std::size_t, std::string> first;
    const auto consider = [&](const std::string& name)
    {
        auto rank = rank_of(name, server);
        if (first.second.empty() || rank < first)
        {
            first = std::move(rank);
        }
    };
    if (!reach.is_cut_off() && !is_draining)
    {
        consider(settings.name.value());
    }
    for (const auto& [name, it] : fleet.peers())
    {
        if (it.digest.__isset.limited_servers && !it.digest.is_cut_off &&
            !it.digest.is_leaving)
        {
            consider(name);
        }
    }
    return first.second;
}

daemon_id entry_state::limit_sender_run(const server_record& server) const
{
    std::string name = limit_sender(server);
    const auto known = fleet.peers().find(name);
    if (known != fleet.peers().end())
    {
        name += '/' + std::to_string(known->second.digest.incarnation);
    }
    return daemon_id(std::move(name));
}

milliseconds entry_state::limit_wait(server_record& server,
                                     const request_id& request, time_point now)
{
    if (limit_sender(server) != settings.name.value())
    {
        server.limit.on_not_sender();
        return server.limit.time_to_ask(limit_sender_run(server), now);
    }
    // Hosts that are not in contact may send to the server too. Right after the
    // start, those that have not reported yet are taken for in contact: a small
    // part would make requests wait for much longer than they have to.
    const std::size_t hosts = fleet.host_count(now);
    const bool have_reported = now >= started_at + first_reports_time;
    const std::size_t in_contact =
        have_reported ? 1 + fleet.peers().size() : hosts;
    server.limit.on_sender(
        static_cast<double>(in_contact) / static_cast<double>(hosts), now);
    return server.limit.time_to_send(request, now);
}

void entry_state::book_if_sender(server_record& server,
                                 const request_id& request, time_point now)
{
    if (limit_sender(server) == settings.name.value())
    {
        server.limit.book(request, now);
    }
}

bool entry_state::is_entitled(const daemon_id& host,
                              const server_record& server, time_point now) const
{
    const auto known = brittle_services.find(server.entry.service);
    if (known == brittle_services.end())
    {
        return true;
    }
    const auto limit = known->second.limit(now);
    return !limit || known->second.is_entitled(
                         position_of(host, server, *limit, now), now);
}

sharing::retry_budget& entry_state::retry_budget_of(const service_id& service)
{
    const auto known = retry_budgets.find(service);
    if (known != retry_budgets.end())
    {
        return known->second;
    }
    sharing::retry_limits limits;
    limits.ratio = settings.retry_budget_ratio;
    limits.window = settings.retry_budget_window;
    limits.extra =
        settings.retry_budget_extra /
        static_cast<double>(fleet.host_count(monotonic_clock::now()));
    return retry_budgets.emplace(service, sharing::retry_budget(limits))
        .first->second;
}

} // namespace cicadahub::entry
