#include "entry/placement/demand_table.hpp"

namespace cicadahub::entry
{

namespace
{

/// Request rate, one in 30 s, below which a model or adapter counts as unused.
constexpr double min_rate = 1.0 / 30;

} // namespace

void demand_table::on_request(const replicas::copy_name& copy, time_point now)
{
    m_copies[{copy.model, std::nullopt}].add(1, now);
    m_last_used[{copy.model, std::nullopt}] = now;
    if (copy.adapter)
    {
        m_copies[copy].add(1, now);
        m_last_used[copy] = now;
    }
}

void demand_table::on_tokens(const organisation_id& organisation,
                             std::int64_t tokens, time_point now)
{
    m_organisations[organisation].add(static_cast<double>(tokens), now);
}

std::map<replicas::copy_name, double> demand_table::copy_rates(time_point now)
{
    std::map<replicas::copy_name, double> rates;
    for (auto it = m_copies.begin(); it != m_copies.end();)
    {
        const double rate = it->second.per_second(now);
        if (rate < min_rate)
        {
            it = m_copies.erase(it);
            continue;
        }
        rates[it->first] = rate;
        ++it;
    }
    return rates;
}

double demand_table::tokens_per_second(const organisation_id& organisation,
                                       time_point now)
{
    const auto it = m_organisations.find(organisation);
    return it == m_organisations.end() ? 0 : it->second.per_second(now);
}

std::map<organisation_id, double>
demand_table::organisation_rates(time_point now)
{
    std::map<organisation_id, double> rates;
    for (auto& [name, rate] : m_organisations)
    {
        rates[name] = rate.per_second(now);
    }
    return rates;
}

} // namespace cicadahub::entry
