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
constexpr std::uint32_t busy_copies = 3;

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
replica_planner::weigh(const planning& plan, const server_state& server,
                       const model_id& model)
{
    const planner_view& view = plan.view;
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
            ranked.emplace_back(
                cost_of_dropping(view, plan.index, server, held, plan.now),
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
replica_planner::best_server(const planning& plan, const model_id& model,
                             load_scope scope)
{
    std::optional<candidate> best;
    for (auto& [id, server] : plan.view.servers)
    {
        const bool is_in_scope =
            (scope != load_scope::near_copy || server.has_near_copy(model)) &&
            (scope != load_scope::empty_server || server.models().empty());
        if (!is_in_scope || !server.is_usable() || server.is_engaged() ||
            server.models().contains(model))
        {
            continue;
        }
        auto it = weigh(plan, server, model);
        if (!it)
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

void replica_planner::emit(planning& plan, const candidate& to,
                           const model_id& model)
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
    plan.index.remove(server);
    server.on_order_sent(it.what, it.expected_time, it.makes_room_for,
                         plan.now);
    plan.index.add(server);
    plan.orders.push_back(std::move(it));
}

std::vector<replica_planner::need>
replica_planner::unmet_needs(const planning& plan)
{
    const planner_view& view = plan.view;
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
        const model_places& places = plan.index.places_of(model);
        if (spec == view.engine.models.end() || places.replicas > 0 ||
            places.rooms > 0)
        {
            continue;
        }
        it.model = model;
        it.has_near_copy = places.near > 0;
        const std::chrono::duration<double> load = spec->second.load_from_store;
        it.requests_until_loaded = it.waiting + it.rate * load.count();
        unmet.push_back(it);
    }
    return unmet;
}

void replica_planner::plan_needed(planning& plan) const
{
    std::vector<need> needs = unmet_needs(plan);
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
                    best_server(plan, it.model, load_scope::near_copy))
            {
                emit(plan, *to, it.model);
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
            plan.index.store_loads() >= m_limits.store_loads_at_once)
        {
            continue;
        }
        const auto to = best_server(plan, it.model, load_scope::any);
        if (to &&
            to->victims_cost_ms <= it.requests_until_loaded * running_wait_ms)
        {
            emit(plan, *to, it.model);
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

void replica_planner::plan_adapters(planning& plan) const
{
    const planner_view& view = plan.view;
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
            best->on_order_sent(*next, {}, std::nullopt, plan.now);
            plan.orders.push_back({std::move(*next), {}, std::nullopt});
        }
    }
}

void replica_planner::plan_more_replicas(planning& plan) const
{
    const planner_view& view = plan.view;
    std::map<model_id, double> pressure;
    for (const auto& [model, use] : view.use)
    {
        pressure[model] += use.running;
    }
    for (const want& it : view.wants)
    {
        // Those that wait for the first replica wait for no place.
        if (plan.index.places_of(it.copy.model).serving > 0)
        {
            pressure[it.copy.model] += it.waiting;
        }
    }
    std::vector<std::pair<double, model_id>> overloaded;
    for (const auto& [model, requests] : pressure)
    {
        const auto replicas =
            static_cast<double>(plan.index.places_of(model).replicas);
        if (replicas > 0 && view.engine.models.contains(model) &&
            requests > m_limits.running_per_replica * replicas)
        {
            overloaded.emplace_back(requests / replicas, model);
        }
    }
    std::sort(overloaded.rbegin(), overloaded.rend());
    for (const auto& [per_replica, model] : overloaded)
    {
        if (plan.index.places_of(model).rooms > 0)
        {
            continue;
        }
        const auto scope =
            plan.index.store_loads() < m_limits.store_loads_at_once
                ? load_scope::any
                : load_scope::near_copy;
        const auto to = best_server(plan, model, scope);
        // Worth it only if it takes less from others than it gives.
        if (to && to->cost_ms < per_replica * running_wait_ms)
        {
            emit(plan, *to, model);
        }
    }
}

std::vector<model_id> replica_planner::models_to_stage(const planning& plan)
{
    const planner_view& view = plan.view;
    std::vector<std::pair<double, model_id>> ranked;
    for (const auto& [model, spec] : view.engine.models)
    {
        const model_places& places = plan.index.places_of(model);
        const std::chrono::duration<double> load = spec.load_from_store;
        const double missed =
            use_of(view, model).requests_per_second * load.count();
        std::uint32_t wanted = 1;
        if (missed >= busy_miss)
        {
            wanted = busy_copies;
        }
        else if (missed >= 1)
        {
            wanted = 2;
        }
        if (places.copies < wanted && places.rooms == 0)
        {
            ranked.emplace_back(missed / (places.copies + 1.0), model);
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

void replica_planner::plan_staging(planning& plan) const
{
    const bool has_demand = !plan.view.use.empty();
    const std::uint32_t limit = has_demand ? m_limits.store_loads_at_once -
                                                 m_limits.store_loads_kept_free
                                           : m_limits.store_loads_at_once;
    for (const model_id& model : models_to_stage(plan))
    {
        if (plan.index.store_loads() >= limit)
        {
            return;
        }
        // While requests come, a load of seconds would hold up a server that
        // others swap models on.
        const auto to = best_server(plan, model,
                                    has_demand ? load_scope::empty_server
                                               : load_scope::any);
        if (to && to->is_store_load && to->victims_cost_ms <= staging_cost_ms)
        {
            emit(plan, *to, model);
        }
    }
}

std::vector<planned_order> replica_planner::plan(const planner_view& view,
                                                 time_point now) const
{
    planning it{view, now, replica_index(view), {}};
    plan_needed(it);
    plan_adapters(it);
    plan_more_replicas(it);
    plan_staging(it);
    return std::move(it.orders);
}

} // namespace cicadahub::replicas
