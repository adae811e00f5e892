#pragma once

#include "core/units.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace cicadahub::standin
{

namespace net = boost::asio;

struct worker_settings
{
    std::string id;
    std::string service;
    std::string data_centre;
    std::string address;
    /// Events of versions other than v1 name it.
    std::string software_version = "v1";
    http::endpoint store;
    std::int64_t slots = 8;
    /// Memory for weights; 0 for a plain service.
    std::int64_t megabytes = 0;
    std::int64_t model_megabytes = 100;
    milliseconds load_from_store{600};
    milliseconds load_from_disk{150};
    milliseconds event_gap{20};
    std::set<std::string> models;
};

/// Simulates a backend server of the users' platform: an engine if it has
/// memory for weights, else a plain service. It registers itself in the store
/// and refreshes the entry by heartbeats. `PUT /faults` sets `lose_answers`
/// (number of plain calls executed without a response), `break_streams` (number
/// of streams broken off inside their third event), `event_gap_ms` (time
/// between events), `plain_ms` (time of a plain call), `unframed` (responses
/// have neither a length nor chunks, and broken streams are closed without a
/// reset, as when the process crashes), `silent_orders` (number of orders
/// executed without a response), `draining`, `leaving` (responses announce that
/// the server leaves, while its entry in the store does not) `unlisted` (the
/// server writes its entry no more), `shed_s` (for that many seconds requests
/// are turned away with the rest of that time as the pause; orders and reports
/// too with `shed_placement`), `unnumbered` (events have no id),
/// `crash_after_run` (the process ends while it executes the next request),
/// `crash_part` (the process ends when it begins to answer a request with this
/// part in its prompt; behind a whole event with `crash_behind_event`, else
/// within one), `unproven_promises` (number of requests that are executed and
/// answered with `promised_status` without the statement that they were not),
/// `stale_refusals` (number of requests in front of whose response a refusal of
/// another request arrives, with `promised_status`; it names the request
/// `stale_id`, or none if that is empty) and `endless` (responses never end: in
/// the "head", in "interim" responses, in a "chunk_extension", in the "body",
/// which has no length and in a stream is one event, or with whole "events";
/// empty for none), `resumed_status` (status of the error that answers requests
/// to resume a stream; 0 for none), `limit` (requests a second, as text, that
/// responses say the server takes from all hosts together; empty for none),
/// `cold_ms` (time for which its entry says that it is cold; arrivals in a
/// second are counted anew), `brittle` (limit that responses announce), `pace`
/// (how long work takes, in percent of what is usual, as responses state it),
/// `tokens_per_ms` (prompts are read one after the other at this rate before
/// their first events; 0 for at once) and `room` (requests that it runs at the
/// same time, if fewer than its slots; from then on, after more rejections for
/// want of room in a second than the limit, the server fails, which is counted
/// as `falls`, and for a second closes all connections). `GET /stats` returns
/// counters and `GET /runs` how
/// often each request was executed.
class worker_standin
{
public:
    worker_standin(net::io_context& context, worker_settings settings);

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    net::awaitable<void> register_entry();
    net::awaitable<void> execute_order(std::string model, bool is_load,
                                       milliseconds time);
    net::awaitable<void> run(http::request& message, http::reply_writer& reply);
    net::awaitable<void> stream(const http::request& message,
                                http::reply_writer& reply);
    bool makes_server_crash(const http::request& message) const;
    /// Marks a response if the server leaves.
    void announce(http::response& it) const;
    /// The refusal of another request that arrives in front of a response.
    http::response stale_refusal();
    /// Waits until the prompt and those before it have been read.
    net::awaitable<void> read_prompt(const http::request& message);
    http::response error_for_resumed(std::string_view request) const;
    bool is_shedding() const;
    void count_arrival_in_pause();
    /// Time left that the entry states.
    milliseconds cold_left() const;
    /// Counts a request that another server was not meant by.
    void count_arrival();
    /// Counts a request against the rate limit, over a sliding window.
    void count_limited_arrival();
    /// Counts a rejection for want of room, which may make the server fail.
    void count_rejection();
    /// The rejection that asks for a pause; counts requests that come within
    /// it.
    http::response shed(std::string_view request);
    net::awaitable<void> answer_plain(const http::request& message,
                                      http::reply_writer& reply);
    /// Sends until the connection is closed, which throws.
    net::awaitable<void> send_endless(const http::request& message,
                                      http::reply_writer& reply);
    http::response answer_order(const http::request& message);
    http::response accept_model(const std::string& model, bool is_load);
    http::response accept_adapter(const std::string& model,
                                  const std::string& adapter, bool is_load);
    http::response answer_report() const;
    http::response answer_stats() const;
    http::response answer_runs() const;
    /// The refusal of the request with this id; names none if it is empty.
    http::response refusal(http::status code, std::string_view request) const;
    boost::json::array models_json() const;
    boost::json::object available_json() const;
    std::int64_t used_megabytes() const;
    net::awaitable<void> pause(milliseconds time);

    net::io_context& m_context;
    worker_settings m_settings;
    http::client_pool m_pool;
    std::int64_t m_started_at_ms;
    std::map<std::string, std::set<std::string>> m_models;
    std::set<std::string> m_on_disk;
    std::int64_t m_orders = 0;
    std::int64_t m_heartbeats = 0;
    bool m_is_busy = false;
    bool m_is_draining = false;
    std::int64_t m_running = 0;
    std::int64_t m_lost_answers = 0;
    std::int64_t m_broken_streams = 0;
    std::int64_t m_tokens_per_ms = 0;
    time_point m_reads_until{};
    std::int64_t m_silent_orders = 0;
    bool m_is_unframed = false;
    bool m_is_leaving = false;
    bool m_is_unlisted = false;
    bool m_are_events_unnumbered = false;
    bool m_crashes_after_run = false;
    std::string m_crash_part;
    bool m_crashes_behind_event = false;
    std::int64_t m_unproven_promises = 0;
    std::int64_t m_stale_refusals = 0;
    std::int64_t m_promised_status = 503;
    std::string m_stale_id;
    std::string m_endless;
    std::int64_t m_resumed_status = 0;
    std::int64_t m_endless_bytes = 0;
    time_point m_sheds_until{};
    bool m_sheds_placement = false;
    milliseconds m_plain_call_time{10};
    std::string m_rate_limit;
    /// Requests count against the limit from here on.
    time_point m_limit_counts_from{};
    std::deque<time_point> m_limited_arrivals;
    std::int64_t m_most_limited_arrivals = 0;
    /// Of the last second.
    std::deque<time_point> m_last_arrivals;
    time_point m_seconds_count_from{};
    std::int64_t m_arrivals = 0;
    time_point m_cold_until{};
    std::int64_t m_most_arrivals_in_second = 0;
    std::optional<std::int64_t> m_brittle_limit;
    std::optional<std::int64_t> m_room;
    std::optional<std::int64_t> m_pace_percent;
    std::int64_t m_with_urgency = 0;
    std::deque<time_point> m_rejections;
    std::int64_t m_falls = 0;
    time_point m_down_until{};
    /// From here to `m_sheds_until` no request should come.
    std::optional<time_point> m_pause_begins_at;
    std::int64_t m_arrivals_in_pause = 0;
    std::map<std::string, std::int64_t> m_runs;
    std::set<std::string> m_organisations;
    std::int64_t m_keys_seen = 0;
    std::int64_t m_most_megabytes = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_old_fences = 0;
};

} // namespace cicadahub::standin
