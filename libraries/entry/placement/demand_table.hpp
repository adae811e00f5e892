#pragma once

#include "decision/replicas/types.hpp"
#include "decision/sharing/rate_estimate.hpp"

#include <map>

namespace cicadahub::entry
{

/// Demand at this daemon: request rates by model and adapter, and token rates
/// by organisation.
class demand_table
{
public:
    void on_request(const replicas::copy_name& copy, time_point now);
    void on_tokens(const organisation_id& organisation, std::int64_t tokens,
                   time_point now);

    /// Request rates of recently requested models and adapters. The rate of a
    /// model includes those of its adapters.
    std::map<replicas::copy_name, double> copy_rates(time_point now);
    double tokens_per_second(const organisation_id& organisation,
                             time_point now);
    std::map<organisation_id, double> organisation_rates(time_point now);
    const std::map<replicas::copy_name, time_point>& last_used() const
    {
        return m_last_used;
    }

private:
    std::map<replicas::copy_name, sharing::rate_estimate> m_copies;
    std::map<organisation_id, sharing::rate_estimate> m_organisations;
    std::map<replicas::copy_name, time_point> m_last_used;
};

} // namespace cicadahub::entry
