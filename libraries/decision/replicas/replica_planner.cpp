#include "decision/replicas/replica_planner.hpp"

#include "decision/replicas/planner_costs.hpp"

#include <algorithm>

namespace cicadahub::replicas
{

namespace
{

/// A copy fetched ahead of demand may cost others this much.
constexpr double staging_cost_ms = 300;

/// Requests that the loss of the last copy would miss, for the time of a load
/// from the store, from which on a model is kept on several servers.
constexpr double busy_miss = 8;
constexpr std::int64_t busy_copies = 3;

} // namespace

struct replica_planner::candidate
{
    server_state* server = nullptr;
    double cost_ms = 0;
    /// What of it comes from dropping models that others use.
    double victims_cost_ms = 0;
    std::vector<model_id> victims;
    bool is_store_load = false;
    milliseconds load_time{0};
};

std::optional<replica_planner::candidate>
replica_planner::weigh(const planner_view& view, const server_state& server,
                       const model_id& model, time_point now) const
{
    const serving::model_spec& spec = view.engine.models.at(model);
    candidate it;
    it.load_time = server.load_time(model, spec);
    it.is_store_load = !server.has_near_copy(model);
    it.cost_ms = static_cast<double>(it.load_time.count());
    double free = view.engine.megabytes - server.used_megabytes(view.engine);
    std::vector<std::pair<double, model_id>> ranked;
    if (free < spec.megabytes)
    {
        for (const auto& [held, adapters] : server.models())
        {
            ranked.emplace_back(cost_of_dropping(view, server, held, now),
                                held);
        }
        std::sort(ranked.begin(), ranked.end());
    }
    for (const auto& [cost, held] : ranked)
    {
        if (free >= spec.megabytes)
        {
            break;
        }
        const auto held_spec = view.engine.models.find(held);
        free += held_spec == view.engine.models.end()
                    ? view.engine.megabytes
                    : held_spec->second.megabytes;
        it.cost_ms += cost;
        it.victims_cost_ms += cost;
        it.victims.push_back(held);
    }
    if (free < spec.megabytes)
    {
        return std::nullopt;
    }
    return it;
}

std::optional<replica_planner::candidate>
replica_planner::best_server(const planner_view& view, const model_id& model,
                             load_scope scope, time_point now) const
{
    std::optional<candidate> best;
    for (auto& [id, server] : view.servers)
    {
        if (!server.is_usable() || server.is_engaged() ||
            server.models().contains(model))
        {
            continue;
        }
        auto it = weigh(view, server, model, now);
        const bool is_in_scope =
            (scope != load_scope::near_copy || (it && !it->is_store_load)) &&
            (scope != load_scope::empty_server || server.models().empty());
        if (!it || !is_in_scope)
        {
            continue;
        }
        if (!best || it->cost_ms < best->cost_ms)
        {
            it->server = &server;
            best = std::move(it);
        }
    }
    return best;
}

void replica_planner::emit(const candidate& to, const model_id& model,
                           time_point now, std::vector<planned_order>& orders)
{
    server_state& server = *to.server;
    planned_order it;
    it.what.server = server.id();
    it.what.incarnation = server.entry().incarnation;
    it.what.expected = server.orders_accepted();
    if (to.victims.empty())
    {
        it.what.kind = order_kind::load;
        it.what.copy = {model, std::nullopt};
        it.what.is_store_load = to.is_store_load;
        it.expected_time = to.load_time;
    }
    else
    {
        it.what.kind = order_kind::unload;
        it.what.copy = {to.victims.front(), std::nullopt};
        it.makes_room_for = model;
    }
    server.on_order_sent(it.what, it.expected_time, it.makes_room_for, now);
    orders.push_back(std::move(it));
}

std::vector<replica_planner::need>
replica_planner::unmet_needs(const planner_view& view)
{
    std::map<model_id, need> needs;
    for (const want& it : view.wants)
    {
        need& sum = needs[it.copy.model];
        sum.slack = sum.waiting == 0 ? it.slack : std::min(sum.slack, it.slack);
        sum.waiting += it.waiting;
    }
    for (const auto& [model, use] : view.use)
    {
        needs[model].rate += use.requests_per_second;
    }
    std::vector<need> unmet;
    for (auto& [model, it] : needs)
    {
        const auto spec = view.engine.models.find(model);
        if (spec == view.engine.models.end() ||
            replica_count(view, model) > 0 || is_room_being_made(view, model))
        {
            continue;
        }
        it.model = model;
        it.has_near_copy =
            std::any_of(view.servers.begin(), view.servers.end(),
                        [name = &model](const auto& server) {
                            return server.second.is_usable() &&
                                   server.second.has_near_copy(*name);
                        });
        const std::chrono::duration<double> load = spec->second.load_from_store;
        it.requests_until_loaded = it.waiting + it.rate * load.count();
        unmet.push_back(it);
    }
    return unmet;
}

void replica_planner::plan_needed(const planner_view& view, time_point now,
                                  std::vector<planned_order>& orders) const
{
    std::vector<need> needs = unmet_needs(view);
    // Loads from near are short and many: the most urgent goes first. Waiting
    // for the server that has a copy is shorter than a fetch from the store.
    std::stable_sort(needs.begin(), needs.end(),
                     [](const need& a, const need& b)
                     { return a.slack < b.slack; });
    for (const need& it : needs)
    {
        if (it.has_near_copy && it.waiting > 0)
        {
            if (const auto to =
                    best_server(view, it.model, load_scope::near_copy, now))
            {
                emit(*to, it.model, now, orders);
            }
        }
    }
    // Loads from the store are few and long: those that serve the most go
    // first, also for requests that were refused since they could not wait.
    std::stable_sort(
        needs.begin(), needs.end(),
        [](const need& a, const need& b)
        { return a.requests_until_loaded > b.requests_until_loaded; });
    for (const need& it : needs)
    {
        if (it.has_near_copy ||
            store_loads(view) >= m_limits.store_loads_at_once)
        {
            continue;
        }
        const auto to = best_server(view, it.model, load_scope::any, now);
        if (to &&
            to->victims_cost_ms <= it.requests_until_loaded * running_wait_ms)
        {
            emit(*to, it.model, now, orders);
        }
    }
}

std::optional<order> replica_planner::adapter_order(const planner_view& view,
                                                    server_state& server,
                                                    const copy_name& copy) const
{
    order it;
    it.server = server.id();
    it.incarnation = server.entry().incarnation;
    it.expected = server.orders_accepted();
    it.copy = copy;
    const double size = view.engine.models.at(copy.model).adapter_megabytes;
    if (server.adapter_count() < view.engine.adapter_places &&
        server.used_megabytes(view.engine) + size <= view.engine.megabytes)
    {
        return it;
    }
    std::optional<copy_name> victim;
    double least = 0;
    for (const auto& [model, adapters] : server.models())
    {
        for (const adapter_id& adapter : adapters)
        {
            const copy_name held{model, adapter};
            const bool is_waited_for = std::any_of(
                view.wants.begin(), view.wants.end(),
                [&](const want& other) { return other.copy == held; });
            const auto rate = view.adapter_rates.find(held);
            const double use =
                rate == view.adapter_rates.end() ? 0 : rate->second;
            if (!is_waited_for && (!victim || use < least))
            {
                victim = held;
                least = use;
            }
        }
    }
    if (!victim)
    {
        return std::nullopt;
    }
    it.kind = order_kind::unload;
    it.copy = *victim;
    return it;
}

void replica_planner::plan_adapters(const planner_view& view, time_point now,
                                    std::vector<planned_order>& orders) const
{
    for (const want& it : view.wants)
    {
        if (!it.copy.adapter || !view.engine.models.contains(it.copy.model))
        {
            continue;
        }
        server_state* best = nullptr;
        std::pair<bool, std::uint32_t> least;
        bool is_held = false;
        for (auto& [id, server] : view.servers)
        {
            if (!server.is_usable() || !server.serves(it.copy.model))
            {
                continue;
            }
            is_held = is_held || server.holds(it.copy);
            const std::pair cost{server.adapter_count() >=
                                     view.engine.adapter_places,
                                 running_at(view, id, it.copy.model)};
            if (!server.is_engaged() && (best == nullptr || cost < least))
            {
                best = &server;
                least = cost;
            }
        }
        if (is_held || best == nullptr)
        {
            continue;
        }
        if (auto next = adapter_order(view, *best, it.copy))
        {
            best->on_order_sent(*next, {}, std::nullopt, now);
            orders.push_back({std::move(*next), {}, std::nullopt});
        }
    }
}

void replica_planner::plan_more_replicas(
    const planner_view& view, time_point now,
    std::vector<planned_order>& orders) const
{
    std::map<model_id, double> pressure;
    for (const auto& [model, use] : view.use)
    {
        pressure[model] += use.running;
    }
    for (const want& it : view.wants)
    {
        // Those that wait for the first replica wait for no place.
        if (is_served(view, it.copy.model))
        {
            pressure[it.copy.model] += it.waiting;
        }
    }
    std::vector<std::pair<double, model_id>> overloaded;
    for (const auto& [model, requests] : pressure)
    {
        const auto replicas = static_cast<double>(replica_count(view, model));
        if (replicas > 0 && view.engine.models.contains(model) &&
            requests > m_limits.running_per_replica * replicas)
        {
            overloaded.emplace_back(requests / replicas, model);
        }
    }
    std::sort(overloaded.rbegin(), overloaded.rend());
    for (const auto& [per_replica, model] : overloaded)
    {
        if (is_room_being_made(view, model))
        {
            continue;
        }
        const auto scope = store_loads(view) < m_limits.store_loads_at_once
                               ? load_scope::any
                               : load_scope::near_copy;
        const auto to = best_server(view, model, scope, now);
        // Worth it only if it takes less from others than it gives.
        if (to && to->cost_ms < per_replica * running_wait_ms)
        {
            emit(*to, model, now, orders);
        }
    }
}

std::vector<model_id> replica_planner::models_to_stage(const planner_view& view)
{
    std::vector<std::pair<double, model_id>> ranked;
    for (const auto& [model, spec] : view.engine.models)
    {
        const auto copies =
            std::count_if(view.servers.begin(), view.servers.end(),
                          [&, name = &model](const auto& it)
                          {
                              return it.second.is_usable() &&
                                     (it.second.has_near_copy(*name) ||
                                      it.second.models().contains(*name) ||
                                      it.second.is_loading(*name));
                          });
        const std::chrono::duration<double> load = spec.load_from_store;
        const double missed =
            use_of(view, model).requests_per_second * load.count();
        std::int64_t wanted = 1;
        if (missed >= busy_miss)
        {
            wanted = busy_copies;
        }
        else if (missed >= 1)
        {
            wanted = 2;
        }
        if (copies < wanted && !is_room_being_made(view, model))
        {
            ranked.emplace_back(missed / static_cast<double>(copies + 1),
                                model);
        }
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b)
                     { return a.first > b.first; });
    std::vector<model_id> models;
    models.reserve(ranked.size());
    for (auto& [missed, model] : ranked)
    {
        models.push_back(std::move(model));
    }
    return models;
}

void replica_planner::plan_staging(const planner_view& view, time_point now,
                                   std::vector<planned_order>& orders) const
{
    const bool has_demand = !view.use.empty();
    const std::uint32_t limit = has_demand ? m_limits.store_loads_at_once -
                                                 m_limits.store_loads_kept_free
                                           : m_limits.store_loads_at_once;
    for (const model_id& model : models_to_stage(view))
    {
        if (store_loads(view) >= limit)
        {
            return;
        }
        // While requests come, a load of seconds would hold up a server that
        // others swap models on.
        const auto to = best_server(
            view, model,
            has_demand ? load_scope::empty_server : load_scope::any, now);
        if (to && to->is_store_load && to->victims_cost_ms <= staging_cost_ms)
        {
            emit(*to, model, now, orders);
        }
    }
}

std::vector<planned_order> replica_planner::plan(const planner_view& view,
                                                 time_point now) const
{
    std::vector<planned_order> orders;
    plan_needed(view, now, orders);
    plan_adapters(view, now, orders);
    plan_more_replicas(view, now, orders);
    plan_staging(view, now, orders);
    return orders;
}

} // namespace cicadahub::replicas
