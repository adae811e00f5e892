#include "caller/request_metrics.hpp"

namespace cicadahub::caller
{

namespace
{

prometheus::Family<prometheus::Counter>&
counter_family(prometheus::Registry& registry, const std::string& name,
               const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

/// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries first_token_buckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
    0.39,  0.75,   1.5,   3,    6,     15,   60};

} // namespace

request_metrics::request_metrics(prometheus::Registry& registry)
    : m_requests(counter_family(registry, "cicadahub_requests_total",
                                "Requests by outcome.")),
      m_served(m_requests.Add({{"outcome", "served"}})),
      m_failed(m_requests.Add({{"outcome", "failed"}})),
      m_refusals(counter_family(registry, "cicadahub_refusals_total",
                                "Refused requests by reason.")),
      m_tokens(counter_family(registry, "cicadahub_tokens_total",
                              "Tokens of the answers that were served.")
                   .Add({})),
      m_retries(counter_family(registry, "cicadahub_retries_total",
                               "Attempts after a request's first.")
                    .Add({})),
      m_wakes(counter_family(registry, "cicadahub_wakes_total",
                             "Requests for a model that was loaded nowhere.")
                  .Add({})),
      m_first_token(prometheus::BuildHistogram()
                        .Name("cicadahub_first_token_seconds")
                        .Help("Time from a request's arrival to its first "
                              "token.")
                        .Register(registry)
                        .Add({}, first_token_buckets))
{
}

void request_metrics::count_served(milliseconds first_token_after,
                                   std::int64_t tokens)
{
    constexpr double milliseconds_per_second = 1000;
    m_served.Increment();
    m_tokens.Increment(static_cast<double>(tokens));
    m_first_token.Observe(static_cast<double>(first_token_after.count()) /
                          milliseconds_per_second);
}

void request_metrics::count_refused(refusal_kind kind)
{
    m_refusals.Add({{"reason", std::string(name_of(kind))}}).Increment();
}

void request_metrics::count_failed()
{
    m_failed.Increment();
}

void request_metrics::count_retry()
{
    m_retries.Increment();
}

void request_metrics::count_wake()
{
    m_wakes.Increment();
}

} // namespace cicadahub::caller
