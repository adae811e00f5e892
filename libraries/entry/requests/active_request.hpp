#pragma once

#include "decision/routing/server_choice.hpp"
#include "entry/entry_state.hpp"
#include "entry/requests/attempt_observer.hpp"
#include "entry/requests/exchange.hpp"

#include <set>

namespace cicadahub::entry
{

/// Retry-After times for refusals without a better estimate: while the daemon
/// or a service is not yet set up, and when all servers are full.
inline constexpr milliseconds retry_after_starting{500};
inline constexpr milliseconds retry_after_full{250};
/// A request with less time left than this is not sent to a server.
inline constexpr milliseconds min_processing_time{50};

/// Time elapsed since `moment`.
inline milliseconds time_since(time_point moment)
{
    return std::chrono::duration_cast<milliseconds>(monotonic_clock::now() -
                                                    moment);
}

/// One caller's request from its arrival to its end. request_admission.cpp has
/// the admission checks, request_routing.cpp the choice of the server.
class active_request
{
public:
    active_request(entry_state& state, const server_dialect& servers,
                   const http::request& message, serving::request request,
                   http::reply_writer& reply);

    /// Serves the request; throws `refused_error` to refuse it.
    net::awaitable<void> serve();

private:
    struct server_pick
    {
        server_table::record_pointer record;
        bool has_eligible_server = false;
        /// Shortest time left, if every eligible server asked for a pause.
        std::optional<milliseconds> pause_left;
        /// Shortest time until a server with a limit gets another request, if
        /// no other server is eligible.
        std::optional<milliseconds> limit_left;
        /// The server that gets one then.
        server_table::record_pointer limited;
        /// Shortest time until a server that had no room may be tried again.
        std::optional<milliseconds> full_for;
        /// A place at `record` is to be booked.
        bool books_place = false;
        /// Set if the prompt is to wait until a server has less to read.
        std::optional<milliseconds> budget_wait;
        /// What the prompt is expected to meet at `record`.
        std::optional<routing::prefill_cost> prefill;
    };

    /// A place for the request at a server with a limit.
    struct place_booking
    {
        server_table::record_pointer server;
        /// The host that booked it, in its incarnation.
        daemon_id sender;
        time_point due{};
    };

    void find_route();
    void authenticate();
    void charge();
    void refuse_suspect();
    /// Refuses the request if a part of its prompt crashes servers.
    void refuse_crashing_part();
    /// Empty if the route is public.
    organisation_id organisation_name() const;
    /// The stream that began with the request.
    stream_identity stream_of(const request_id& request) const;
    void choose_service();
    bool begins_resumable_stream() const;
    /// Streams of the route must not begin at the service yet, and may do so at
    /// another one.
    bool is_withheld(const service_id& service) const;
    /// For a request that takes up a stream: finds out what began it, and
    /// refuses it if that is not known.
    net::awaitable<void> find_stream_origin();
    [[noreturn]] void refuse_to_resume(std::string_view reason);
    /// Called before the first event of an attempt is forwarded.
    void on_first_event();
    /// False if the stream can't go on at the server.
    bool has_origin(const serving::server_entry& server) const;
    /// True if the server may get the request once it has room.
    bool is_eligible(const server_record& server) const;
    /// False if no server in a region that may get the request is listed.
    bool is_any_region_eligible() const;
    bool is_origin_listed() const;
    net::awaitable<void> attempt_until_answered();
    net::awaitable<server_table::record_pointer> wait_for_server();
    server_pick pick_server() const;
    /// Completes a candidate of a service whose servers state their pace.
    void expect_by_statements(routing::choice_candidate& to,
                              const server_record& server,
                              time_point now) const;
    net::awaitable<exchange_result>
    attempt(const server_table::record_pointer& record);
    /// Decides after an attempt whether the request is sent to another server;
    /// if so, excludes this one and takes the retry from the budget.
    bool prepare_retry(const exchange_result& result,
                       const server_table::record_pointer& record,
                       bool is_cut_off);
    /// Decides after an attempt whether the request, of which nothing was sent,
    /// is sent on another way. That is no retry.
    bool is_repeated_elsewhere(const exchange_result& result,
                               const server_record& server, bool is_cut_off);
    /// A daemon that may forward an attempt at the server; null if there is
    /// none.
    const peer* choose_relay(const server_record& server) const;
    /// True if attempts at the server go through another daemon: this host is
    /// cut off, or the server is brittle and not this host's to use.
    bool needs_relay(const server_record& server, time_point now) const;
    /// True if the server may be sent a request now.
    bool is_usable(server_record& server, time_point now) const;
    /// True if the request may be executed once more after an unknown outcome.
    bool is_repeatable() const;
    bool is_retryable(const exchange_result& result) const;
    net::awaitable<void> finish(exchange_result result);
    /// Time until a server with a limit gets the request, as far as is known;
    /// empty if a place is booked at another one.
    std::optional<milliseconds> wait_for_limit(server_record& server,
                                               time_point now) const;
    /// Whether to ask the host that sends to a limited server for a place.
    bool can_book(const server_record& server, milliseconds wait) const;
    [[noreturn]] void refuse(refusal_kind reason, milliseconds retry_after);
    void refuse_if_unservable(time_point now, const server_pick& pick);
    /// For services with an `admission_control`: refuses the request if it
    /// can't begin in time behind those that go ahead of it. Returns the time
    /// after which it is expected to begin.
    milliseconds refuse_if_queue_too_long(time_point now,
                                          const server_pick& pick,
                                          bool has_waited);
    /// Brings up to date what the queue knows of the request.
    void update_waiter(time_point now);
    admission::queue_view view_queue(time_point now, const server_pick& pick);
    /// Whether a request that goes ahead of this one waits for the server.
    bool is_any_ahead(const server_record& server) const;
    /// For an attempt that has ended.
    void observe_start(const server_record& server,
                       const exchange_result& result, time_point sent_at);
    std::int64_t priority() const;
    milliseconds estimated_wait(time_point now) const;
    milliseconds time_left(time_point now) const;
    /// Time from the arrival in which the first event should come.
    milliseconds first_event_target() const;
    /// See `routing::time_to_wait_for_budget`.
    std::optional<milliseconds>
    budget_wait(std::span<const routing::choice_candidate> from,
                time_point now) const;
    /// `status` is that of a forwarded response; 0 if there is none.
    void record_outcome(std::string_view outcome, unsigned status = 0) const;
    bool is_stream() const;

    entry_state& m_state;
    const server_dialect& m_servers;
    const http::request& m_message;
    serving::request m_request;
    http::reply_writer& m_reply;

    std::shared_ptr<const serving::configuration> m_configuration;
    const serving::route* m_route = nullptr;
    const serving::organisation* m_organisation = nullptr;
    const serving::service* m_service = nullptr;
    routing::allowed_regions m_allowed_regions;
    std::optional<replicas::copy_name> m_copy;
    routing::prompt_affinity m_affinity;
    suspicion::fingerprint m_fingerprint;
    time_point m_arrived{};
    /// That of the first attempt of the caller that this host knows of.
    time_point m_first_arrived{};
    bool m_is_returned = false;
    bool m_is_in_demand = false;
    time_point m_deadline{};
    /// The caller gives up if it has received nothing more by then.
    time_point m_first_byte_deadline{};
    std::set<server_id> m_excluded_servers;
    std::set<http::endpoint> m_attempted_addresses;
    /// Attempts that a server executed or may have executed, out of `m_sends`.
    std::uint32_t m_runs = 0;
    std::uint32_t m_sends = 0;
    /// Of them, those that a server had no room for.
    std::uint32_t m_rejections = 0;
    std::optional<place_booking> m_booking;
    /// The next attempt asks for a place if it is withheld.
    bool m_books_place = false;
    stream_progress m_progress;
    /// What began the stream; set once the caller has an event of it.
    std::optional<continuity::stream_origin> m_origin;
    /// That of the current attempt.
    continuity::stream_origin m_attempt_origin;
    attempt_observer m_observer;
    exchange m_exchange;
    /// Name of the daemon that forwards the current attempt; empty if none.
    std::string m_relay;
    /// Daemons that did not forward the request.
    std::set<std::string> m_excluded_relays;
    wait_queue::waiter_pointer m_waiter;
    bool m_has_retried_same_server = false;
    /// The caller takes up a stream that broke off.
    bool m_is_taken_up = false;
    bool m_is_caller_gone = false;
    /// The request may show whether a part of its prompt is sound again.
    bool m_is_trial = false;
};

} // namespace cicadahub::entry
