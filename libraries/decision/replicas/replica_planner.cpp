#include "decision/replicas/replica_planner.hpp"

#include "decision/replicas/planner_costs.hpp"

#include <algorithm>

namespace cicadahub::replicas
{

namespace
{

/// Highest cost of the evictions that a prefetch may cause.
constexpr double max_prefetch_eviction_cost_ms = 300;

/// A model is busy if the loss of its last copy would make this many requests
/// fail until it is loaded from the store again. It is kept on several servers.
constexpr double busy_model_missed_requests = 8;
constexpr std::uint32_t busy_model_copies = 3;
/// Added to the cost of a load on a server that is cold: more than a load from
/// the weight store takes.
constexpr double cold_penalty_ms = 10'000;

} // namespace

struct replica_planner::candidate
{
    server_state* server = nullptr;
    double cost_ms = 0;
    /// Part of `cost_ms` that comes from evicting other models.
    double eviction_cost_ms = 0;
    std::vector<model_id> victims;
    bool is_store_load = false;
    milliseconds load_time{0};
};

std::optional<replica_planner::candidate>
replica_planner::evaluate_server(const planning_state& plan,
                                 const server_state& server,
                                 const model_id& model)
{
    const planner_view& view = plan.view;
    const serving::model_spec& spec = view.engine.models.at(model);
    candidate it;
    it.load_time = server.load_time(model, spec);
    it.is_store_load = !server.has_cached_copy(model);
    it.cost_ms = static_cast<double>(it.load_time.count());
    double free = view.engine.megabytes - server.used_megabytes(view.engine);
    std::vector<std::pair<double, model_id>> ranked;
    if (free < spec.megabytes)
    {
        for (const auto& [held, adapters] : server.models())
        {
            ranked.emplace_back(
                eviction_cost(view, plan.index, server, held, plan.now), held);
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
        it.eviction_cost_ms += cost;
        it.victims.push_back(held);
    }
    if (free < spec.megabytes)
    {
        return std::nullopt;
    }
    return it;
}

std::optional<replica_planner::candidate>
replica_planner::best_server(const planning_state& plan, const model_id& model,
                             load_scope scope, const server_filter& filter)
{
    std::optional<candidate> best;
    for (auto& [id, server] : plan.view.servers)
    {
        const bool is_in_scope =
            (scope != load_scope::cached_copy ||
             server.has_cached_copy(model)) &&
            (scope != load_scope::empty_server || server.models().empty());
        if (!is_in_scope || !server.is_usable() || server.is_order_blocked() ||
            !server.suits(filter) || server.models().contains(model))
        {
            continue;
        }
        auto it = evaluate_server(plan, server, model);
        if (!it)
        {
            continue;
        }
        // What a cold server holds can hardly be used yet.
        it->cost_ms += server.is_cold() ? cold_penalty_ms : 0;
        if (!best || it->cost_ms < best->cost_ms)
        {
            it->server = &server;
            best = std::move(it);
        }
    }
    return best;
}

void replica_planner::emit(planning_state& plan, const candidate& to,
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

replica_counts replica_planner::counts_for(const planning_state& plan,
                                           const model_id& model,
                                           const server_filter& filter)
{
    return filter.allows_any() ? plan.index.counts_of(model)
                               : count_replicas(plan.view, model, filter);
}

std::vector<replica_planner::unmet_demand>
replica_planner::collect_unmet_demands(const planning_state& plan)
{
    const planner_view& view = plan.view;
    using wanted_model = std::pair<model_id, server_filter>;
    std::map<wanted_model, unmet_demand> demands;
    for (const pending_demand& it : view.pending_demands)
    {
        unmet_demand& sum = demands[{it.copy.model, {it.version, it.regions}}];
        sum.slack = sum.waiting == 0 ? it.slack : std::min(sum.slack, it.slack);
        sum.waiting += it.waiting;
    }
    for (const auto& [model, use] : view.use)
    {
        demands[{model, {}}].rate += use.requests_per_second;
    }
    std::vector<unmet_demand> unmet;
    for (auto& [wanted, it] : demands)
    {
        const auto& [model, filter] = wanted;
        const auto spec = view.engine.models.find(model);
        const replica_counts counts = counts_for(plan, model, filter);
        if (spec == view.engine.models.end() || counts.replicas > 0 ||
            counts.pending_evictions > 0)
        {
            continue;
        }
        it.model = model;
        it.filter = filter;
        it.has_cached_copy = counts.cached > 0;
        const std::chrono::duration<double> load = spec->second.load_from_store;
        it.requests_until_loaded = it.waiting + it.rate * load.count();
        unmet.push_back(it);
    }
    return unmet;
}

void replica_planner::plan_first_replicas(planning_state& plan) const
{
    std::vector<unmet_demand> demands = collect_unmet_demands(plan);
    // A copy for a stream of some version, or for requests that only some
    // regions may get, may be one for other requests too.
    const auto is_met = [&](const unmet_demand& it)
    {
        const replica_counts counts = counts_for(plan, it.model, it.filter);
        return counts.replicas > 0 || counts.pending_evictions > 0;
    };
    // Loads of cached weights are short and many: the most urgent goes first,
    // behind those for streams whose callers have a part already. A model with
    // a cached copy is not fetched from the store here, since waiting for a
    // server with the copy takes less time.
    std::stable_sort(demands.begin(), demands.end(),
                     [](const unmet_demand& a, const unmet_demand& b)
                     {
                         return std::pair(a.filter.allows_any(), a.slack) <
                                std::pair(b.filter.allows_any(), b.slack);
                     });
    for (const unmet_demand& it : demands)
    {
        if (it.has_cached_copy && it.waiting > 0 && !is_met(it))
        {
            if (const auto to = best_server(plan, it.model,
                                            load_scope::cached_copy, it.filter))
            {
                emit(plan, *to, it.model);
            }
        }
    }
    // Loads from the store are few and long: those that serve the most requests
    // go first. The rate also counts requests that were refused because no load
    // could end before their deadline.
    std::stable_sort(
        demands.begin(), demands.end(),
        [](const unmet_demand& a, const unmet_demand& b)
        { return a.requests_until_loaded > b.requests_until_loaded; });
    for (const unmet_demand& it : demands)
    {
        if (it.has_cached_copy || is_met(it) ||
            plan.index.store_loads() >= m_limits.max_concurrent_store_loads)
        {
            continue;
        }
        const auto to = best_server(plan, it.model, load_scope::any, it.filter);
        if (to && to->eviction_cost_ms <=
                      it.requests_until_loaded * typical_request_ms)
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
    if (server.adapter_count() < view.engine.adapter_slots &&
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
                view.pending_demands.begin(), view.pending_demands.end(),
                [&](const pending_demand& other)
                { return other.copy == held; });
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

void replica_planner::plan_adapters(planning_state& plan) const
{
    const planner_view& view = plan.view;
    for (const pending_demand& it : view.pending_demands)
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
            if (!server.is_usable() || !server.serves(it.copy.model) ||
                !server.suits({std::nullopt, it.regions}))
            {
                continue;
            }
            is_held = is_held || server.holds(it.copy);
            const std::pair cost{server.adapter_count() >=
                                     view.engine.adapter_slots,
                                 running_at(view, id, it.copy.model)};
            if (!server.is_order_blocked() && (best == nullptr || cost < least))
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

void replica_planner::plan_more_replicas(planning_state& plan) const
{
    const planner_view& view = plan.view;
    std::map<model_id, double> pressure;
    for (const auto& [model, use] : view.use)
    {
        pressure[model] += use.running;
    }
    for (const pending_demand& it : view.pending_demands)
    {
        // Requests that wait for the first replica are no sign of overload.
        if (plan.index.counts_of(it.copy.model).serving > 0)
        {
            pressure[it.copy.model] += it.waiting;
        }
    }
    std::vector<std::pair<double, model_id>> overloaded;
    for (const auto& [model, requests] : pressure)
    {
        const auto replicas =
            static_cast<double>(plan.index.counts_of(model).replicas);
        if (replicas > 0 && view.engine.models.contains(model) &&
            requests > m_limits.max_running_per_replica * replicas)
        {
            overloaded.emplace_back(requests / replicas, model);
        }
    }
    std::sort(overloaded.rbegin(), overloaded.rend());
    for (const auto& [per_replica, model] : overloaded)
    {
        if (plan.index.counts_of(model).pending_evictions > 0)
        {
            continue;
        }
        const auto scope =
            plan.index.store_loads() < m_limits.max_concurrent_store_loads
                ? load_scope::any
                : load_scope::cached_copy;
        const auto to = best_server(plan, model, scope);
        // A replica must cost less waiting time than it saves.
        if (to && to->cost_ms < per_replica * typical_request_ms)
        {
            emit(plan, *to, model);
        }
    }
}

std::vector<model_id>
replica_planner::models_to_prefetch(const planning_state& plan)
{
    const planner_view& view = plan.view;
    std::vector<std::pair<double, model_id>> ranked;
    for (const auto& [model, spec] : view.engine.models)
    {
        const replica_counts& counts = plan.index.counts_of(model);
        const std::chrono::duration<double> load = spec.load_from_store;
        const double missed =
            use_of(view, model).requests_per_second * load.count();
        std::uint32_t target_copies = 1;
        if (missed >= busy_model_missed_requests)
        {
            target_copies = busy_model_copies;
        }
        else if (missed >= 1)
        {
            target_copies = 2;
        }
        if (counts.copies < target_copies && counts.pending_evictions == 0)
        {
            ranked.emplace_back(missed / (counts.copies + 1.0), model);
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

void replica_planner::plan_prefetches(planning_state& plan) const
{
    const bool has_demand = !plan.view.use.empty();
    const std::uint32_t limit = has_demand
                                    ? m_limits.max_concurrent_store_loads -
                                          m_limits.reserved_store_loads
                                    : m_limits.max_concurrent_store_loads;
    for (const model_id& model : models_to_prefetch(plan))
    {
        if (plan.index.store_loads() >= limit)
        {
            return;
        }
        // Under demand, a load of several seconds would block the model
        // changes of a server that is in use.
        const auto to = best_server(plan, model,
                                    has_demand ? load_scope::empty_server
                                               : load_scope::any);
        if (to && to->is_store_load &&
            to->eviction_cost_ms <= max_prefetch_eviction_cost_ms)
        {
            emit(plan, *to, model);
        }
    }
}

std::vector<planned_order> replica_planner::plan(const planner_view& view,
                                                 time_point now) const
{
    planning_state it{view, now, replica_index(view), {}};
    plan_first_replicas(it);
    plan_adapters(it);
    plan_more_replicas(it);
    plan_prefetches(it);
    return std::move(it.orders);
}

} // namespace cicadahub::replicas
