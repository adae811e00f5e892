#pragma once

#include "core/refusal.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>

namespace cicadahub::caller
{

/// Metrics of the request path. The cardinality of their labels does not grow
/// with the number of models, adapters or organisations.
class request_metrics
{
public:
    explicit request_metrics(prometheus::Registry& registry);

    void count_served(milliseconds first_token_after, std::int64_t tokens);
    void count_refused(refusal_kind kind);
    void count_failed();
    void count_retry();
    void count_wake();

private:
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Counter& m_served;
    prometheus::Counter& m_failed;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Counter& m_tokens;
    prometheus::Counter& m_retries;
    prometheus::Counter& m_wakes;
    prometheus::Histogram& m_first_token;
};

} // namespace cicadahub::caller
