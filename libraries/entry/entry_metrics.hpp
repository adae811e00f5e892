#pragma once

#include "core/refusal.hpp"
#include "core/units.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

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
    void observe_first_event(milliseconds after);
    /// Streams that callers begin, or take up again: those asked for, and those
    /// that went on to an event.
    void count_stream_asked(bool is_taken_up);
    void count_stream_began(bool is_taken_up);
    void count_order(std::string_view answer);
    void observe_load(milliseconds took);
    /// Counts what was done to a client that exceeded a bound of this host.
    void count_client_limit(std::string_view limit);
    /// Counts an entry of a server that names no server to use.
    void count_unreadable_server();
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
    prometheus::Family<prometheus::Counter>& m_orders;
    prometheus::Counter& m_unreadable_servers;
    prometheus::Histogram& m_request_time;
    prometheus::Histogram& m_attempt_time;
    prometheus::Histogram& m_wait;
    prometheus::Histogram& m_wait_error;
    prometheus::Histogram& m_first_event;
    prometheus::Histogram& m_load_time;
    prometheus::Histogram& m_loop_delay;
    prometheus::Gauge& m_dropped_lines;
};

} // namespace cicadahub::entry
