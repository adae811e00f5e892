#pragma once

#include "core/ids.hpp"
#include "core/refusal.hpp"
#include "core/units.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <set>

namespace cicadahub::entry
{

/// Metrics of an entry daemon, described in docs/METRICS.md. To bound the
/// cardinality, no label names a model, an organisation or a server.
class entry_metrics
{
public:
    entry_metrics();

    void count_request(std::string_view outcome, milliseconds took);
    void count_refusal(refusal_kind kind);
    void count_attempt(std::string_view end, milliseconds took);
    /// Records the wait of a request that was assigned a server, and its
    /// difference from `estimate`, which was made when the wait began.
    void observe_wait(milliseconds waited, milliseconds estimate);
    /// Counts how a request of a class ended: within its target, late or
    /// refused, by the priority of its class.
    void count_class(std::int64_t priority, std::string_view result);
    void observe_class_wait(std::int64_t priority, milliseconds waited);
    void observe_first_event(milliseconds after);
    /// Streams that callers begin, or take up again: those asked for, and those
    /// that went on to an event.
    void count_stream_asked(bool is_taken_up);
    void count_stream_began(bool is_taken_up);
    void count_order(std::string_view answer);
    void observe_load(milliseconds took);
    /// Counts a choice of a server by what the servers have still to read; see
    /// docs/METRICS.md for the names of the results.
    void count_prefill_choice(std::string_view result);
    /// Changes the number of prompt tokens of this host's requests that servers
    /// have still to read.
    void add_unread_tokens(std::int64_t tokens);
    /// Counts what was done to a client that exceeded a bound of this host.
    void count_client_limit(std::string_view limit);
    /// Counts an entry of a server that names no server to use.
    void count_unreadable_server();
    /// Data centres that were evacuated before, and those that are now.
    void set_evacuated(const std::set<data_centre_id>& before,
                       const std::set<data_centre_id>& now);
    /// Records how long after hearing of a configuration this host applied it.
    void observe_configuration_delay(milliseconds behind);
    /// Records how late the event loop ran a timer.
    void observe_loop_delay(milliseconds late);

    /// All metrics in the Prometheus text format.
    std::string text();

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_client_limits;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_streams;
    prometheus::Family<prometheus::Counter>& m_classes;
    prometheus::Family<prometheus::Histogram>& m_class_waits;
    prometheus::Family<prometheus::Counter>& m_orders;
    prometheus::Counter& m_unreadable_servers;
    prometheus::Histogram& m_request_time;
    prometheus::Histogram& m_attempt_time;
    prometheus::Histogram& m_wait;
    prometheus::Histogram& m_wait_error;
    prometheus::Histogram& m_first_event;
    prometheus::Histogram& m_load_time;
    prometheus::Histogram& m_loop_delay;
    prometheus::Histogram& m_configuration_delay;
    prometheus::Gauge& m_dropped_lines;
    prometheus::Family<prometheus::Counter>& m_prefill_choices;
    prometheus::Gauge& m_unread_tokens;
    prometheus::Family<prometheus::Gauge>& m_evacuated;
};

} // namespace cicadahub::entry
