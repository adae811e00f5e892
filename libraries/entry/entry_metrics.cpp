#include "entry/entry_metrics.hpp"

#include "core/structured_log.hpp"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <cstdlib>

namespace cicadahub::entry
{

namespace
{

/// Upper bounds in seconds; they range from the response of a plain service to
/// a load from the weight store.
const prometheus::Histogram::BucketBoundaries time_buckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2.5, 5, 10, 20};

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Histogram& times(prometheus::Registry& registry, const char* name,
                             const char* help)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, time_buckets);
}

double in_seconds(milliseconds it)
{
    return std::chrono::duration<double>(it).count();
}

/// Bounds the number of labels: all less urgent classes count as the last.
std::string class_of(std::int64_t priority)
{
    constexpr std::int64_t last_class = 9;
    return std::to_string(std::clamp<std::int64_t>(priority, 0, last_class));
}

std::string kind_of(bool is_taken_up)
{
    return is_taken_up ? "taken-up" : "new";
}

} // namespace

entry_metrics::entry_metrics()
    : m_requests(counters(m_registry, "cicadahub_entry_requests_total",
                          "Requests that were taken, by outcome.")),
      m_refusals(counters(m_registry, "cicadahub_entry_refusals_total",
                          "Requests that were refused, by reason.")),
      m_client_limits(counters(m_registry,
                               "cicadahub_entry_client_limits_total",
                               "Clients that exceeded a bound, by what was "
                               "done.")),
      m_attempts(counters(m_registry, "cicadahub_entry_attempts_total",
                          "Sends to backend servers, by how they ended.")),
      m_streams(counters(m_registry, "cicadahub_entry_streams_total",
                         "Streams asked for and begun, new and taken up.")),
      m_classes(counters(m_registry, "cicadahub_entry_class_requests_total",
                         "Requests by priority and result: within their "
                         "target, late or refused.")),
      m_class_waits(prometheus::BuildHistogram()
                        .Name("cicadahub_entry_class_wait_seconds")
                        .Help("Wait for a place, by priority.")
                        .Register(m_registry)),
      m_orders(counters(m_registry, "cicadahub_entry_orders_total",
                        "Orders to backend servers, by their answer.")),
      m_unreadable_servers(
          counters(m_registry, "cicadahub_entry_unreadable_servers_total",
                   "Entries of servers that could not be read.")
              .Add({})),
      m_request_time(times(m_registry, "cicadahub_entry_request_seconds",
                           "Time from a request's arrival to its end.")),
      m_attempt_time(times(m_registry, "cicadahub_entry_attempt_seconds",
                           "Time of one send to a backend server.")),
      m_wait(times(m_registry, "cicadahub_entry_wait_seconds",
                   "Wait for a copy of the model or a place.")),
      m_wait_error(times(m_registry, "cicadahub_entry_wait_error_seconds",
                         "Difference of the wait from its first estimate.")),
      m_first_event(times(m_registry, "cicadahub_entry_first_event_seconds",
                          "Time from arrival to a stream's first event.")),
      m_load_time(times(m_registry, "cicadahub_entry_load_seconds",
                        "Time from a load's order to its end.")),
      m_loop_delay(times(m_registry, "cicadahub_entry_loop_delay_seconds",
                         "How late the event loop runs a timer.")),
      m_configuration_delay(
          times(m_registry, "cicadahub_entry_configuration_delay_seconds",
                "Time from the first news of a configuration until it is "
                "applied.")),
      m_dropped_lines(prometheus::BuildGauge()
                          .Name("cicadahub_entry_log_lines_dropped")
                          .Help("Log lines dropped since the start.")
                          .Register(m_registry)
                          .Add({})),
      m_prefill_choices(
          counters(m_registry, "cicadahub_entry_prefill_choices_total",
                   "Choices of a server by its unread prompts, by result.")),
      m_unread_tokens(prometheus::BuildGauge()
                          .Name("cicadahub_entry_unread_prompt_tokens")
                          .Help("Prompt tokens that servers have still to "
                                "read for this host.")
                          .Register(m_registry)
                          .Add({})),
      m_evacuated(prometheus::BuildGauge()
                      .Name("cicadahub_entry_evacuated")
                      .Help("1 while nothing is sent to a data centre.")
                      .Register(m_registry))
{
    // Shown from the start: most deployments never count any.
    for (const char* result : {"within-budget", "over-budget", "waits"})
    {
        m_prefill_choices.Add({{"result", result}});
    }
    for (const char* limit :
         {"memory-refused", "memory-timeout", "memory-closed", "idle-closed",
          "connection-refused", "address-idle-closed", "address-refused"})
    {
        m_client_limits.Add({{"limit", limit}});
    }
}

void entry_metrics::set_evacuated(const std::set<data_centre_id>& before,
                                  const std::set<data_centre_id>& now)
{
    for (const data_centre_id& it : before)
    {
        m_evacuated.Add({{"zone", it.value()}}).Set(0);
    }
    for (const data_centre_id& it : now)
    {
        m_evacuated.Add({{"zone", it.value()}}).Set(1);
    }
}

void entry_metrics::count_request(std::string_view outcome, milliseconds took)
{
    m_requests.Add({{"outcome", std::string(outcome)}}).Increment();
    m_request_time.Observe(in_seconds(took));
}

void entry_metrics::count_refusal(refusal_kind kind)
{
    m_refusals.Add({{"reason", std::string(name_of(kind))}}).Increment();
}

void entry_metrics::count_client_limit(std::string_view limit)
{
    m_client_limits.Add({{"limit", std::string(limit)}}).Increment();
}

void entry_metrics::count_attempt(std::string_view end, milliseconds took)
{
    m_attempts.Add({{"end", std::string(end)}}).Increment();
    m_attempt_time.Observe(in_seconds(took));
}

void entry_metrics::observe_wait(milliseconds waited, milliseconds estimate)
{
    m_wait.Observe(in_seconds(waited));
    m_wait_error.Observe(
        in_seconds(milliseconds(std::abs((waited - estimate).count()))));
}

void entry_metrics::count_class(std::int64_t priority, std::string_view result)
{
    m_classes
        .Add(
            {{"priority", class_of(priority)}, {"result", std::string(result)}})
        .Increment();
}

void entry_metrics::observe_class_wait(std::int64_t priority,
                                       milliseconds waited)
{
    m_class_waits.Add({{"priority", class_of(priority)}}, time_buckets)
        .Observe(in_seconds(waited));
}

void entry_metrics::observe_first_event(milliseconds after)
{
    m_first_event.Observe(in_seconds(after));
}

void entry_metrics::count_stream_asked(bool is_taken_up)
{
    m_streams.Add({{"kind", kind_of(is_taken_up)}, {"step", "asked"}})
        .Increment();
}

void entry_metrics::count_stream_began(bool is_taken_up)
{
    m_streams.Add({{"kind", kind_of(is_taken_up)}, {"step", "began"}})
        .Increment();
}

void entry_metrics::count_order(std::string_view answer)
{
    m_orders.Add({{"answer", std::string(answer)}}).Increment();
}

void entry_metrics::observe_load(milliseconds took)
{
    m_load_time.Observe(in_seconds(took));
}

void entry_metrics::observe_loop_delay(milliseconds late)
{
    m_loop_delay.Observe(in_seconds(late));
}

void entry_metrics::observe_configuration_delay(milliseconds behind)
{
    m_configuration_delay.Observe(in_seconds(behind));
}

void entry_metrics::count_prefill_choice(std::string_view result)
{
    m_prefill_choices.Add({{"result", std::string(result)}}).Increment();
}

void entry_metrics::add_unread_tokens(std::int64_t tokens)
{
    m_unread_tokens.Increment(static_cast<double>(tokens));
}

void entry_metrics::count_unreadable_server()
{
    m_unreadable_servers.Increment();
}

std::string entry_metrics::text()
{
    m_dropped_lines.Set(static_cast<double>(dropped_log_lines()));
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace cicadahub::entry
