#pragma once

#include "decision/sharing/fleet_rate.hpp"
#include "decision/sharing/retry_budget.hpp"
#include "decision/suspicion/suspect_table.hpp"
#include "entry/demand_table.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/fleet_view.hpp"
#include "entry/server_table.hpp"
#include "entry/settings.hpp"
#include "entry/wait_queue.hpp"
#include "http/client.hpp"

#include <functional>
#include <random>

namespace cicadahub::entry
{

/// Many round trips inside a region, and half of the second after which the
/// packet that opens a connection is sent again.
inline constexpr milliseconds connect_timeout{500};

/// What the parts of one daemon share; used on one thread only.
struct entry_state
{
    entry_state(net::io_context& io, const entry_settings& given,
                const document_dialect& documents);

    net::io_context& context;
    const entry_settings& settings;
    /// None until the first one is known.
    std::shared_ptr<const serving::configuration> configuration;
    server_table servers;
    fleet_view fleet;
    demand_table demand;
    wait_queue waiting;
    suspicion::suspect_table suspects;
    entry_metrics metrics;
    /// Connections to backend servers that carry callers' requests.
    http::client_pool pool;
    std::map<organisation_id, sharing::fleet_rate> rates;
    std::map<service_id, sharing::retry_budget> retry_budgets;
    bool is_draining = false;
    /// While draining: requests that come after the first are turned away, and
    /// those that still wait at the second.
    time_point accept_deadline = time_point::max();
    time_point wait_deadline = time_point::max();
    bool has_servers = false;
    /// Mean of the prompt tokens of recent requests.
    double mean_prompt_tokens = 500;

    std::mt19937_64 random{std::random_device{}()};

    /// Something changed that other daemons wait for.
    std::function<void()> send_update_soon;

    /// Parts the rates among the hosts anew by the latest demand.
    void update_rate_shares(time_point now);
    sharing::retry_budget& retry_budget_of(const service_id& service);
};

} // namespace cicadahub::entry
