#pragma once

#include "decision/admission/admission_control.hpp"
#include "decision/routing/allowed_regions.hpp"
#include "decision/routing/cached_prefixes.hpp"
#include "decision/routing/evacuation_set.hpp"
#include "decision/routing/prefill_budget.hpp"
#include "decision/routing/server_choice.hpp"
#include "decision/sharing/brittle_service.hpp"
#include "decision/sharing/fleet_rate.hpp"
#include "decision/sharing/retry_budget.hpp"
#include "decision/suspicion/crash_attribution.hpp"
#include "decision/suspicion/dispatched_requests.hpp"
#include "decision/suspicion/suspect_table.hpp"
#include "decision/suspicion/trial_order.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/fleet/fleet_view.hpp"
#include "entry/placement/demand_table.hpp"
#include "entry/requests/stream_continuity.hpp"
#include "entry/requests/wait_queue.hpp"
#include "entry/servers/reach_monitor.hpp"
#include "entry/servers/server_table.hpp"
#include "entry/settings.hpp"
#include "entry/work_meter.hpp"
#include "http/client.hpp"

#include <functional>
#include <random>

namespace cicadahub::entry
{

/// Many round trips within a region, and half of the 1 s after which TCP
/// retransmits a lost SYN.
inline constexpr milliseconds connect_timeout{500};

/// State shared by the components of one daemon; not thread-safe.
struct entry_state
{
    /// Callers' requests are served on the executor `requests`.
    entry_state(net::io_context& io, const entry_settings& given,
                const document_dialect& documents,
                const net::any_io_executor& requests);
    entry_state(net::io_context& io, const entry_settings& given,
                const document_dialect& documents)
        : entry_state(io, given, documents, io.get_executor())
    {
    }

    net::io_context& context;
    const entry_settings& settings;
    /// Null until the first configuration has been received.
    std::shared_ptr<const serving::configuration> configuration;
    server_table servers;
    fleet_view fleet;
    demand_table demand;
    wait_queue waiting;
    suspicion::suspect_table suspects;
    suspicion::crash_attribution crashing_parts;
    suspicion::dispatched_requests dispatched;
    entry_metrics metrics;
    work_meter work;
    /// Bytes that this host holds for callers.
    std::shared_ptr<admission::memory_account> memory;
    /// Connections to backend servers for callers' requests.
    http::client_pool pool;
    std::map<organisation_id, sharing::fleet_rate> rates;
    std::map<service_id, sharing::retry_budget> retry_budgets;
    std::map<service_id, sharing::brittle_service> brittle_services;
    /// Of services whose servers state their pace.
    std::map<service_id, routing::prefill_budget> prefill_budgets;
    routing::cached_prefixes cached_prefixes;
    time_point servers_ranked_at{};
    time_point unread_summed_at{};
    /// Services whose servers have stated their pace.
    std::map<service_id, routing::service_pace> paces;
    std::map<service_id, admission::admission_control> admission;
    static constexpr milliseconds report_interval{250};
    const time_point started_at = monotonic_clock::now();
    /// Higher after each start of this daemon.
    const std::int64_t incarnation;
    bool is_draining = false;
    /// While draining: requests that arrive after `accept_deadline`, and those
    /// still queued at `wait_deadline`, are refused. Those that arrive before
    /// and run longer are answered then.
    time_point accept_deadline = time_point::max();
    time_point wait_deadline = time_point::max();
    bool has_servers = false;
    /// What is recorded of the servers' limits has been read, or learnt from
    /// other hosts.
    bool are_limits_known = false;
    /// Since when there has been traffic at any host; empty if there has been
    /// none. Reports of others arrive late, so that the time is never too early
    /// but for a record by another clock.
    std::optional<time_point> traffic_since;
    routing::evacuation_set evacuations;
    /// False until the evacuations are known, or nobody can tell of them.
    bool are_evacuations_known = false;
    /// Last time at which a response, or a part of one, arrived from any
    /// server.
    time_point last_server_contact = monotonic_clock::now();
    /// Moving average of the prompt tokens of a request.
    double mean_prompt_tokens = 500;

    std::mt19937_64 random{std::random_device{}()};
    reach_monitor reach;
    stream_continuity continuity;

    /// Called on changes that all other daemons need to learn of at once.
    std::function<void()> send_update_to_all_soon;

    /// The same for changes that can wait for the next beacon.
    std::function<void()> send_next_update_to_all;

    /// Called when a response said that its server leaves.
    std::function<void()> on_server_leaving;

    /// Whether servers or hosts of a data centre may get a request.
    bool is_allowed(const routing::allowed_regions& regions,
                    const data_centre_id& data_centre) const;

    /// Recomputes this host's share of each rate from the current demand.
    void update_rate_shares(time_point now);
    sharing::retry_budget& retry_budget_of(const service_id& service);

    /// A part among these that crashes servers, so that a request with it is
    /// refused; empty if there is none.
    std::optional<suspicion::part_fingerprint>
    find_crashing_part(const std::vector<suspicion::part_fingerprint>& parts,
                       time_point now);

    /// True, once for each trial, if a request may be sent although it is
    /// refused, or although the part of its prompt is, to find out whether that
    /// is sound again. Tells the other hosts.
    bool try_admit(const suspicion::fingerprint& request, time_point now);
    bool try_admit(const suspicion::part_fingerprint& part, time_point now);

    /// Clears requests and parts of prompts that are suspected, if requests
    /// that run now show that they are sound.
    void clear_by_lasting(time_point now);
    /// Tells the other hosts what parts of prompts were cleared.
    void
    on_parts_cleared(const suspicion::crash_attribution::clearing_result& it,
                     const request_id& request);
    /// The same for a request that was suspected `crashes` times.
    void on_request_cleared(const suspicion::fingerprint& it,
                            std::uint32_t crashes, const request_id& request);

    /// Null if prompts are not taken into account for the service.
    const routing::prefill_budget*
    prefill_budget_of(const service_id& service) const;

    /// Ranks the servers anew, if the last time was some time ago.
    void update_server_ranks(time_point now);

    /// Takes in what the other hosts reported of running requests; see
    /// `server_table::set_running_elsewhere`.
    void on_fleet_work(bool is_without_own);

    /// True if servers of the service are chosen, and its requests admitted, by
    /// what the servers state of their load: if one stated its pace within the
    /// last 30 s, or if callers compete for too little room.
    bool chooses_by_load(const service_id& service) const;
    /// What a request can expect at a server of a service that states its pace.
    routing::server_expectation expectation_of(const server_record& server,
                                               time_point now) const;
    /// Takes in what the other hosts report of their requests, for services
    /// that state their pace; at most each `report_interval`, since it takes
    /// the number of hosts times that of servers.
    void update_occupancy(time_point now);
    /// Counts an answer that the server has completed.
    void on_outcome(server_record& server, const routing::attempt_times& it,
                    time_point now);

    /// Takes in what an answer of a server says of its load, of how brittle it
    /// is and of the rate that it takes.
    void on_server_notice(server_record& server, const server_notice& it);
    /// What orders the service's requests and decides whether they wait; null
    /// if its servers do not state their pace.
    admission::admission_control* admission_of(const service_id& service);
    /// Takes in what another host heard of the rate that a server takes, and
    /// whether it lends its part of that to this host.
    void on_limit_notice(const fleet::wire::LimitedServer& it,
                         const peer& from);
    /// Takes in a limit that is recorded in the platform's store, as if it had
    /// been heard at `heard_at`.
    void on_recorded_limit(const server_id& server,
                           std::int64_t server_incarnation,
                           double requests_per_second, time_point heard_at);
    /// There has been traffic since `moment`, or longer.
    void on_traffic(time_point moment);
    /// Takes in what the entries say of cold servers and what follows from
    /// their starts. True if a server is cold that was not known to be.
    bool update_cold_servers(time_point now);
    /// Applies the evacuations as they are known now. True if any changed.
    bool update_evacuations();
    /// The server may have ended, or a link. Only this host acts on that.
    void on_connection_lost(server_record& server, time_point now);
    /// The server has ended: what answers at its address until its next start
    /// is listed may be cold.
    void on_crashed(server_record& server, time_point now);
    /// Whether this host may send a server one more request now, as far as
    /// brittle servers and limits are concerned.
    bool may_send(server_record& server, const request_id& request,
                  time_point now);
    /// Counts a request that is sent to the server.
    void on_sent(server_record& server, const request_id& request,
                 time_point now);

    /// Lends this host's part of a server's limit to the host that is to send:
    /// the one that may use most of the limit already, so that all hosts choose
    /// the same one after a while.
    void update_loan(server_record& server, time_point now);
    /// Name of the host that sends to a server with a limit, as far as this
    /// host is concerned; empty if there is none.
    static const std::string& limit_sender(const server_record& server)
    {
        return server.lender.borrower().value();
    }
    /// The same with the incarnation of that host, which loses the places that
    /// it has booked if it starts again.
    daemon_id limit_sender_run(const server_record& server) const;
    /// Books a place for a request of this host's own, if this is the host that
    /// sends to the server.
    void book_if_sender(server_record& server, const request_id& request,
                        time_point now);
    /// Time until this host may send a request to a server with a limit, or
    /// ask the host that sends; 0 if it may now.
    milliseconds limit_wait(server_record& server, const request_id& request,
                            time_point now);
    /// Whether a host, this one or a peer, is among those that may send to the
    /// server.
    bool is_entitled(const daemon_id& host, const server_record& server,
                     time_point now) const;

private:
    /// Time for which this host leaves a trial to others.
    milliseconds trial_delay(const std::string& tried) const;
    void on_load(server_record& server, const server_load& it);
    /// A service had a rate for cold servers when these were last updated.
    bool m_had_cold_rates = false;

    void on_brittle_notice(const server_record& server,
                           const server_notice& it);
    void on_limit(server_record& server, std::optional<double> limit,
                  time_point heard_at, const std::string& seen_by);
    /// The service of a server as configured; null if there is none.
    const serving::service* service_of(const server_record& server) const;
    /// Assumes the incarnation to be cold if it started while there was
    /// traffic.
    void judge_start(server_record& server, milliseconds cold_start,
                     time_point now) const;
    /// True if the server is cold and was not known to be.
    bool update_cold(server_record& server, std::string_view seen_by,
                     time_point now);
    void on_loan(server_record& server, const fleet::wire::LimitedServer& it,
                 const peer& from);
    /// The host that is to send to a server with a limit; null if it is this
    /// one, empty if no host can.
    std::optional<const peer*> choose_limit_sender(const server_record& server,
                                                   time_point now) const;
    sharing::host_position position_of(const daemon_id& host,
                                       const server_record& server,
                                       std::uint32_t limit,
                                       time_point now) const;

    time_point m_next_occupancy_update{};
};

} // namespace cicadahub::entry
