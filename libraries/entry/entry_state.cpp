#include "entry/entry_state.hpp"

namespace cicadahub::entry
{

namespace
{

constexpr std::size_t idle_connections_per_server = 32;
/// A crash counts against every request that was running on the server: two
/// crashes in a row can be a coincidence, three are unlikely to be one.
constexpr std::uint32_t max_crashes = 3;
constexpr milliseconds suspect_retention{600'000};
constexpr std::size_t max_suspects = 10'000;
/// Fraction of the quota slack that compensates for the uneven distribution of
/// requests over the hosts; the rest covers partitions between hosts.
constexpr double slack_share_for_imbalance = 0.7;

} // namespace

entry_state::entry_state(net::io_context& io, const entry_settings& given,
                         const document_dialect& documents)
    : context(io), settings(given), servers(documents), waiting(io),
      suspects(suspicion::suspicion_limits{max_crashes, suspect_retention,
                                           max_suspects}),
      pool(io, connect_timeout, idle_connections_per_server),
      reach(io, pool, servers, random)
{
}

void entry_state::update_rate_shares(time_point now)
{
    if (!configuration)
    {
        return;
    }
    const std::size_t hosts = fleet.host_count(now);
    for (auto& [name, budget] : retry_budgets)
    {
        budget.set_extra(settings.retry_budget_extra /
                         static_cast<double>(hosts));
    }
    sharing::demand_view view;
    view.hosts = hosts;
    view.has_all_reports = fleet.is_complete(now);
    view.slack = static_cast<std::int64_t>(
        slack_share_for_imbalance * static_cast<double>(settings.quota_slack));
    for (const auto& [name, it] : configuration->organisations)
    {
        if (!it.rate)
        {
            rates.erase(name);
            continue;
        }
        const double own = demand.tokens_per_second(name, now);
        const double all = own + fleet.demand_of_others(name, own, now);
        view.share = sharing::share_of_demand(own, all, hosts);
        view.is_below_rate = all < it.rate->tokens_per_second;
        view.spent_elsewhere = fleet.spent_by_others(name);
        const auto known = rates.find(name);
        if (known == rates.end())
        {
            rates.emplace(name, sharing::fleet_rate(*it.rate, view, now));
        }
        else
        {
            known->second.set(*it.rate, view, now);
        }
    }
}

sharing::retry_budget& entry_state::retry_budget_of(const service_id& service)
{
    const auto known = retry_budgets.find(service);
    if (known != retry_budgets.end())
    {
        return known->second;
    }
    sharing::retry_limits limits;
    limits.ratio = settings.retry_budget_ratio;
    limits.window = settings.retry_budget_window;
    limits.extra =
        settings.retry_budget_extra /
        static_cast<double>(fleet.host_count(monotonic_clock::now()));
    return retry_budgets.emplace(service, sharing::retry_budget(limits))
        .first->second;
}

} // namespace cicadahub::entry
