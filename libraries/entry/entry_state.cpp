#include "entry/entry_state.hpp"

#include "core/store_version.hpp"
#include "core/structured_log.hpp"

#include <utility>

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

/// A tenth of the time between two reports of the holder.
constexpr milliseconds unread_sum_period{100};

/// Ranks of servers are a second late at most; ranking takes time in proportion
/// to all servers of the fleet.
constexpr milliseconds server_ranking_period{1'000};
/// An order and a request for a report may reach a cold server in one second
/// beside the requests of a host that begins to send.
constexpr double min_slack_for_orders = 3;

/// A server whose connection was lost may have started again. Its next entry is
/// known within this time: a pause and a watch of a host that watches the
/// store, and a message.
constexpr milliseconds restart_doubt{2'000};

/// Wall-clock time of the start, so that each start of a daemon has a higher
/// incarnation than the last, also after a move to another host.
std::int64_t new_incarnation()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// All hosts order themselves in the same way, differently for each server.
std::pair<std::size_t, std::string> rank_of(const std::string& host,
                                            const server_record& server)
{
    return {std::hash<std::string>{}(host + '|' + server.entry.id.value()),
            host};
}

} // namespace

entry_state::entry_state(net::io_context& io, const entry_settings& given,
                         const document_dialect& documents,
                         const net::any_io_executor& requests)
    : context(io), settings(given), servers(documents), waiting(io),
      suspects(suspicion::suspicion_limits{max_crashes, suspect_retention,
                                           max_suspects}),
      memory(std::make_shared<admission::memory_account>(
          admission::memory_limits_of(given.memory_bytes))),
      pool(requests, connect_timeout, idle_connections_per_server, {}, memory),
      incarnation(new_incarnation()), reach(io, pool, servers, random),
      continuity(io, servers, fleet)
{
    are_evacuations_known = !settings.follows_evacuations;
    metrics.set_evacuated({settings.data_centre}, {});
}

bool entry_state::is_allowed(const routing::allowed_regions& regions,
                             const data_centre_id& data_centre) const
{
    if (!regions.is_restricted())
    {
        return true;
    }
    const auto known = settings.regions.find(data_centre);
    return regions.allows(known == settings.regions.end() ? nullptr
                                                          : &known->second);
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

milliseconds entry_state::trial_delay(const std::string& tried) const
{
    std::vector<daemon_id> others;
    others.reserve(fleet.peers().size());
    for (const auto& [name, it] : fleet.peers())
    {
        others.emplace_back(name);
    }
    return suspicion::trial_delay(tried, settings.name, others);
}

bool entry_state::try_admit(const suspicion::fingerprint& request,
                            time_point now)
{
    if (!suspects.try_admit(request, trial_delay(request.value()), now))
    {
        return false;
    }
    log_event(
        severity::info, event_number::trial_began,
        {{"fingerprint", request.value()}, {"seen_by", settings.name.value()}});
    send_update_to_all_soon();
    return true;
}

bool entry_state::try_admit(const suspicion::part_fingerprint& part,
                            time_point now)
{
    if (!crashing_parts.try_admit(part, trial_delay(part.value()), now))
    {
        return false;
    }
    log_event(severity::info, event_number::trial_began,
              {{"part", part.value()}, {"seen_by", settings.name.value()}});
    send_update_to_all_soon();
    return true;
}

void entry_state::clear_by_lasting(time_point now)
{
    if (crashing_parts.is_anything_accused())
    {
        on_parts_cleared(
            crashing_parts.on_lasting(dispatched.lasting_parts(), now), {});
    }
    if (suspects.size() == 0)
    {
        return;
    }
    for (const auto& [request, began] : dispatched.lasting_suspects(suspects))
    {
        const std::uint32_t crashes =
            suspects.on_completed(request, began, now);
        if (crashes > 0)
        {
            on_request_cleared(request, crashes, {});
        }
    }
}

void entry_state::on_parts_cleared(
    const suspicion::crash_attribution::clearing_result& it,
    const request_id& request)
{
    for (const auto& part : it.readmitted)
    {
        log_event(severity::warning, event_number::prompt_part_cleared,
                  {{"part", part.value()},
                   {"request", request.value()},
                   {"seen_by", settings.name.value()}});
    }
    if (!it.readmitted.empty())
    {
        send_update_to_all_soon();
    }
    else if (it.has_cleared)
    {
        send_next_update_to_all();
    }
}

void entry_state::on_request_cleared(const suspicion::fingerprint& it,
                                     std::uint32_t crashes,
                                     const request_id& request)
{
    log_event(severity::info, event_number::request_cleared,
              {{"request", request.value()},
               {"fingerprint", it.value()},
               {"crashes", crashes},
               {"seen_by", settings.name.value()}});
    send_next_update_to_all();
}

const routing::prefill_budget*
entry_state::prefill_budget_of(const service_id& service) const
{
    const auto known = prefill_budgets.find(service);
    return known != prefill_budgets.end() && chooses_by_load(service)
               ? &known->second
               : nullptr;
}

void entry_state::update_server_ranks(time_point now)
{
    if (now >= servers_ranked_at + server_ranking_period)
    {
        servers_ranked_at = now;
        servers.update_ranks();
    }
}

void entry_state::on_fleet_work(bool is_without_own)
{
    servers.set_running_elsewhere(fleet.running_by_server(), is_without_own);
    const time_point now = monotonic_clock::now();
    // The holder of the placement lease is called for each digest of each host.
    if (is_without_own && now < unread_summed_at + unread_sum_period)
    {
        return;
    }
    unread_summed_at = now;
    const auto unread = fleet.unread_by_server();
    // The holder of the placement lease passes reports on that it does not use.
    if (!paces.empty() || !unread.empty())
    {
        servers.set_unread_elsewhere(unread, is_without_own,
                                     fleet.work_received_at(), now);
    }
}

void entry_state::on_server_notice(server_record& server,
                                   const server_notice& it)
{
    on_brittle_notice(server, it);
    if (!it.is_from_server)
    {
        return;
    }
    const time_point now = monotonic_clock::now();
    on_limit(server, it.rate_limit, now, settings.name.value());
    if (it.load)
    {
        on_load(server, *it.load);
    }
    if (!it.cold_left)
    {
        return;
    }
    const bool was_cold = server.limit.is_cold(now);
    server.cold.on_answer(*it.cold_left, now);
    if (update_cold(server, "answer", now))
    {
        send_update_to_all_soon();
    }
    if (server.limit.is_cold(now) != was_cold)
    {
        waiting.wake_all();
    }
}

void entry_state::on_traffic(time_point moment)
{
    if (traffic_since && *traffic_since <= moment)
    {
        return;
    }
    traffic_since = moment;
    update_cold_servers(monotonic_clock::now());
}

void entry_state::judge_start(server_record& server, milliseconds cold_start,
                              time_point now) const
{
    if (server.is_start_judged || !server.first_seen || !traffic_since)
    {
        return;
    }
    std::optional<milliseconds> age;
    if (server.entry.incarnation > 0)
    {
        const auto wall_clock = std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        age =
            wall_clock - milliseconds(server.entry.incarnation) -
            std::chrono::duration_cast<milliseconds>(now - *server.first_seen);
    }
    if (sharing::cold_period::is_start_during_traffic(*server.first_seen, age,
                                                      *traffic_since))
    {
        server.is_start_judged = true;
        server.cold.assume(sharing::cold_period::assumed_end(
            cold_start, *server.first_seen, age));
    }
}

const serving::service*
entry_state::service_of(const server_record& server) const
{
    return configuration ? configuration->find_service(server.entry.service)
                         : nullptr;
}

bool entry_state::update_cold(server_record& server, std::string_view seen_by,
                              time_point now)
{
    const auto* service = service_of(server);
    if (service == nullptr)
    {
        return false;
    }
    if (service->cold_start > milliseconds(0))
    {
        judge_start(server, service->cold_start, now);
    }
    const bool was_cold = server.limit.is_cold(now);
    const bool was_limited = server.limit.is_limited(now);
    // Half of what the bound allows above the rate remains for hosts that begin
    // to send at the same time, and for orders.
    constexpr double burst_share = 0.5;
    server.limit.set_cold(service->cold_requests_per_second, server.cold.end(),
                          burst_share * (settings.cold_overage - 1), now);
    server.takes_orders_while_cold =
        settings.cold_slack >= min_slack_for_orders;
    const bool is_cold = server.limit.is_cold(now);
    if (is_cold == was_cold)
    {
        return false;
    }
    if (is_cold && !was_limited)
    {
        update_loan(server, now);
    }
    log_event(
        severity::info, event_number::server_cold,
        {{"server", server.entry.id.value()},
         {"incarnation", server.entry.incarnation},
         {"is_cold", is_cold},
         {"left_ms", server.cold.left(now).count()},
         {"requests_per_second", service->cold_requests_per_second.value_or(0)},
         {"sender", limit_sender(server)},
         {"seen_by", seen_by}});
    return is_cold;
}

bool entry_state::update_cold_servers(time_point now)
{
    const bool has_cold_rates =
        configuration && configuration->has_cold_rates();
    if (!has_cold_rates && !std::exchange(m_had_cold_rates, has_cold_rates))
    {
        return false;
    }
    m_had_cold_rates = has_cold_rates;
    bool is_any_new = false;
    for (const auto& [id, record] : servers.records())
    {
        is_any_new = update_cold(*record, "list", now) || is_any_new;
    }
    return is_any_new;
}

bool entry_state::update_evacuations()
{
    auto wanted = evacuations.data_centres();
    if (wanted == servers.evacuated())
    {
        return false;
    }
    std::string names;
    for (const data_centre_id& it : wanted)
    {
        names += (names.empty() ? "" : " ") + it.value();
    }
    log_event(severity::warning, event_number::evacuation_changed,
              {{"data_centres", names},
               {"version", revision_of(evacuations.changed_version())}});
    metrics.set_evacuated(servers.evacuated(), wanted);
    servers.set_evacuated(std::move(wanted));
    waiting.wake_all();
    return true;
}

void entry_state::on_connection_lost(server_record& server, time_point now)
{
    const auto* service = service_of(server);
    if (service == nullptr || service->cold_start == milliseconds(0))
    {
        return;
    }
    server.cold.on_peer(std::min(restart_doubt, service->cold_start), now);
    update_cold(server, "lost-connection", now);
}

void entry_state::on_crashed(server_record& server, time_point now)
{
    const auto* service = service_of(server);
    if (service == nullptr || service->cold_start == milliseconds(0))
    {
        return;
    }
    server.cold.assume(now + service->cold_start);
    if (update_cold(server, "crash", now))
    {
        send_update_to_all_soon();
    }
}

void entry_state::on_load(server_record& server, const server_load& it)
{
    const time_point now = monotonic_clock::now();
    server.occupancy.on_statement({it.running, it.waiting, it.slots},
                                  server.running, now);
    if (it.pace_percent)
    {
        server.pace.on_statement(*it.pace_percent, now);
        paces[server.entry.service].on_stated(now);
    }
    else if (settings.is_contended)
    {
        // The usual times are learnt without any statement of the pace.
        paces.try_emplace(server.entry.service);
    }
}

bool entry_state::chooses_by_load(const service_id& service) const
{
    const auto known = paces.find(service);
    return known != paces.end() &&
           (settings.is_contended ||
            known->second.is_stated(monotonic_clock::now()));
}

routing::server_expectation
entry_state::expectation_of(const server_record& server, time_point now) const
{
    static const routing::service_pace unknown;
    const auto known = paces.find(server.entry.service);
    return routing::expectation_of(
        server.running, server.occupancy, server.pace,
        known == paces.end() ? unknown : known->second, now);
}

void entry_state::update_occupancy(time_point now)
{
    if (paces.empty() || now < m_next_occupancy_update)
    {
        return;
    }
    m_next_occupancy_update = now + report_interval;
    const auto running = fleet.running_elsewhere();
    // Digests come at any time of their period.
    const time_point counted_at = now - fleet.digest_period() / 2;
    for (const auto& [id, record] : servers.records())
    {
        const auto it = running.find(id.value());
        record->occupancy.on_report(it == running.end() ? 0 : it->second,
                                    counted_at, now);
    }
}

void entry_state::on_outcome(server_record& server,
                             const routing::attempt_times& it, time_point now)
{
    const auto known = paces.find(server.entry.service);
    if (known != paces.end())
    {
        server.pace.on_outcome(it, known->second.usual(), now);
        known->second.on_outcome(it, server.pace.stated(now));
    }
}

admission::admission_control*
entry_state::admission_of(const service_id& service)
{
    return chooses_by_load(service) ? &admission[service] : nullptr;
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
    if (it.__isset.cold_left_ms)
    {
        record->cold.on_peer(milliseconds(it.cold_left_ms), from.received_at);
        update_cold(*record, from.digest.sender, monotonic_clock::now());
    }
    on_loan(*record, it, from);
}

void entry_state::on_loan(server_record& server,
                          const fleet::wire::LimitedServer& it,
                          const peer& from)
{
    const daemon_id lender(from.digest.sender);
    if (it.usable_part > 0)
    {
        server.usable_elsewhere[lender] = it.usable_part;
    }
    else
    {
        server.usable_elsewhere.erase(lender);
    }
    const bool is_lent_to_this_run = it.__isset.lent_to &&
                                     it.lent_to == settings.name.value() &&
                                     it.lent_to_incarnation == incarnation;
    if (!is_lent_to_this_run)
    {
        return;
    }
    const time_point lent_from{milliseconds(it.lent_from_ms)};
    server.limit.on_part(lender, it.own_part, lent_from,
                         lent_from + sharing::part_lender::loan_time,
                         monotonic_clock::now());
}

void entry_state::on_recorded_limit(const server_id& server,
                                    std::int64_t server_incarnation,
                                    double requests_per_second,
                                    time_point heard_at)
{
    if (const auto known = servers.find_incarnation(server, server_incarnation))
    {
        on_limit(*known, requests_per_second, heard_at, "record");
    }
}

void entry_state::on_limit(server_record& server, std::optional<double> limit,
                           time_point heard_at, const std::string& seen_by)
{
    if (!server.limit.on_answer(limit, heard_at, monotonic_clock::now()))
    {
        return;
    }
    const bool is_own = seen_by == settings.name.value();
    update_loan(server, monotonic_clock::now());
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
    if (server.limit.time_to_send(request, now).count() > 0)
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

std::optional<const peer*>
entry_state::choose_limit_sender(const server_record& server,
                                 time_point now) const
{
    std::optional<const peer*> first;
    // Requests that only some regions may get reach the server through a host
    // of its own region. The more a host may use already, the earlier it comes.
    std::pair<bool, double> first_key;
    std::string first_name;
    const bool are_regions_bound = !settings.regions.empty() && configuration &&
                                   configuration->has_allowed_regions();
    const auto region_of = [&](const data_centre_id& it)
    {
        const auto known = settings.regions.find(it);
        return known == settings.regions.end() ? region_id() : known->second;
    };
    const region_id region = region_of(server.entry.data_centre);
    const auto consider = [&](const std::string& name, double usable,
                              const peer* it, const data_centre_id& where)
    {
        const bool is_elsewhere =
            are_regions_bound && region_of(where) != region;
        const std::pair key(is_elsewhere, -usable);
        // The rank is costly with many cold servers, and seldom needed.
        if (!first || key < first_key ||
            (key == first_key &&
             rank_of(name, server) < rank_of(first_name, server)))
        {
            first = it;
            first_key = key;
            first_name = name;
        }
    };
    if (!reach.is_cut_off() && !is_draining)
    {
        consider(settings.name.value(), server.limit.part(now), nullptr,
                 settings.data_centre);
    }
    for (const auto& [name, it] : fleet.peers())
    {
        const bool knows_limit =
            server.limit.is_named(now) || it.digest.__isset.traffic_ms;
        if (!it.digest.__isset.sent_at_ms || !knows_limit ||
            it.digest.is_cut_off || it.digest.is_leaving)
        {
            continue;
        }
        const auto known = server.usable_elsewhere.find(daemon_id(name));
        consider(name,
                 known == server.usable_elsewhere.end() ? 0 : known->second,
                 &it, data_centre_id(it.digest.data_centre));
    }
    return first;
}

void entry_state::update_loan(server_record& server, time_point now)
{
    const daemon_id& self = settings.name;
    const std::string former = limit_sender(server);
    const auto borrower = fleet.peers().find(server.lender.borrower().value());
    if (borrower != fleet.peers().end() &&
        (borrower->second.digest.is_cut_off ||
         borrower->second.digest.is_leaving))
    {
        server.lender.on_returned();
    }
    const auto wanted = choose_limit_sender(server, now);
    if (wanted && *wanted == nullptr)
    {
        server.lender.choose(self, std::nullopt, now);
    }
    else if (wanted)
    {
        server.lender.choose(daemon_id((*wanted)->digest.sender),
                             (*wanted)->received_at, now);
    }
    if (limit_sender(server) != former)
    {
        log_event(severity::info, event_number::limit_sender_chosen,
                  {{"server", server.entry.id.value()},
                   {"incarnation", server.entry.incarnation},
                   {"sender", limit_sender(server)},
                   {"former", former},
                   {"usable_part", server.limit.part(now)}});
    }
    if (reach.is_cut_off() || is_draining)
    {
        server.limit.give_parts_back(now);
        return;
    }
    const bool is_sender = server.lender.is_lending_to_self();
    const double own = fleet.own_part(now);
    server.limit.on_part(self, is_sender ? own : 0, now, time_point::max(),
                         now);
    // Right after the start, hosts that have not reported yet are expected to
    // lend their parts too.
    const bool have_reported = now >= started_at + first_reports_time;
    const double in_contact = 1 + static_cast<double>(fleet.peers().size());
    const double expected = have_reported ? std::min(1.0, in_contact * own) : 1;
    server.limit.expect_part(is_sender ? expected : 0);
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
    const auto is_sender_known = [&]
    {
        return server.lender.is_lending_to_self() ||
               fleet.peers().contains(limit_sender(server));
    };
    if (!is_sender_known())
    {
        update_loan(server, now);
    }
    if (server.lender.is_lending_to_self())
    {
        return server.limit.time_to_send(request, now);
    }
    return is_sender_known()
               ? server.limit.time_to_ask(limit_sender_run(server), now)
               : server.lender.time_to_end(now);
}

void entry_state::book_if_sender(server_record& server,
                                 const request_id& request, time_point now)
{
    if (server.lender.is_lending_to_self())
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
