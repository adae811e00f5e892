#pragma once

#include "entry/entry_state.hpp"
#include "entry/requests/exchange.hpp"
#include "entry/requests/prompt_reading.hpp"
#include "entry/servers/crash_evidence.hpp"

namespace cicadahub::entry
{

/// Takes in what the attempts of one request show of servers: notices, health
/// and crashes, and whether a failure is due to this host's own links.
class attempt_observer
{
public:
    /// `on_first_event` is called before the first event of an attempt's answer
    /// is forwarded.
    attempt_observer(entry_state& state, const serving::request& request,
                     std::function<void()> on_first_event);
    ~attempt_observer();
    attempt_observer(const attempt_observer&) = delete;
    attempt_observer& operator=(const attempt_observer&) = delete;

    /// Handlers for the exchanges of the request, valid as long as this object.
    exchange_handlers handlers();

    /// The next attempt goes to this server; empty `relay` if it goes there
    /// directly, else the name of the daemon that forwards it.
    void begin(server_table::record_pointer record, std::string relay = {});

    /// Examines the failure of the attempt. Returns true if this host is cut
    /// off, so that the failure says nothing of the server; otherwise counts it
    /// for the server's health and, if the server is gone, against the request.
    net::awaitable<bool> end(const exchange_result& result,
                             const std::optional<replicas::copy_name>& copy);

    void log(const exchange_result& result, time_point sent_at) const;

    const std::vector<suspicion::part_fingerprint>& parts() const
    {
        return m_parts;
    }

    const routing::prompt_size& prompt() const { return m_prompt; }

    /// Identifies repetitions of the request.
    void set_fingerprint(suspicion::fingerprint it)
    {
        m_fingerprint = std::move(it);
    }

    /// Target of the request, for the servers that it runs on.
    void set_target(milliseconds target) { m_target = target; }

    /// For the log: what the request was expected to meet at the server that
    /// was chosen; empty if that was not taken into account.
    void set_expected_prefill(std::optional<routing::prefill_cost> it)
    {
        m_expected_prefill = it;
    }

    /// The request is sent although a part of its prompt crashed servers.
    void admit_crashing_part() { m_is_trial = true; }

private:
    /// Called immediately before the first byte.
    bool may_send();
    void count_rejection(const exchange_result& result);
    void on_notice(const server_notice& it);
    void update_health(const exchange_result& result,
                       const std::optional<replicas::copy_name>& copy);
    /// The server has a place for the request, so that it begins to run at
    /// once.
    bool has_place() const;
    crash_evidence evidence() const;
    void end_dispatch();
    /// Time since any server last sent this host anything.
    std::int64_t servers_silent_ms() const;

    entry_state& m_state;
    request_id m_request;
    suspicion::fingerprint m_fingerprint;
    std::function<void()> m_on_first_event;
    /// Parts of the prompt that other requests may have too.
    std::vector<suspicion::part_fingerprint> m_parts;
    bool m_is_trial = false;
    time_point m_sent_at{};
    /// Set while the request is at a server directly.
    std::optional<suspicion::dispatched_requests::entry> m_dispatched;
    server_table::record_pointer m_record;
    /// That of the incarnation which the attempt is meant for.
    software_version m_version;
    std::string m_relay;
    routing::prompt_size m_prompt;
    std::optional<milliseconds> m_target;
    std::optional<routing::prefill_cost> m_expected_prefill;
    /// Set while a request of a service whose servers state their pace runs at
    /// a server directly.
    std::optional<prompt_reading> m_reading;
    /// Set once the request was sent to the server directly.
    std::optional<sharing::brittle_service::send_number> m_sent;
};

} // namespace cicadahub::entry
