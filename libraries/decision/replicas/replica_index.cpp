#include "decision/replicas/replica_index.hpp"

#include "decision/replicas/planner_costs.hpp"

namespace cicadahub::replicas
{

replica_counts count_replicas(const planner_view& view, const model_id& model,
                              const server_filter& filter)
{
    replica_counts counts;
    for (const auto& [id, it] : view.servers)
    {
        const auto& pending = it.pending();
        counts.pending_evictions +=
            it.suits(filter) && pending && pending->makes_room_for == model ? 1
                                                                            : 0;
        if (!it.is_usable() || !it.suits(filter))
        {
            continue;
        }
        const bool is_loading =
            it.is_loading(model) && !it.models().contains(model);
        const bool is_serving = it.serves(model);
        const bool is_cached = it.has_cached_copy(model);
        counts.serving += is_serving ? 1 : 0;
        counts.replicas += is_serving || is_loading ? 1 : 0;
        counts.cached += is_cached ? 1 : 0;
        counts.copies +=
            is_cached || is_loading || it.models().contains(model) ? 1 : 0;
    }
    return counts;
}

replica_index::replica_index(const planner_view& view)
{
    for (const auto& [id, it] : view.servers)
    {
        add(it);
    }
    count_by_version(view);
    for (const pending_demand& it : view.pending_demands)
    {
        m_demanded_models.insert(it.copy.model);
    }
}

void replica_index::count_by_version(const planner_view& view)
{
    std::set<software_version> versions;
    for (const auto& [id, it] : view.servers)
    {
        if (it.is_usable())
        {
            versions.insert(it.entry().version);
        }
    }
    if (versions.size() < 2)
    {
        return;
    }
    for (const auto& [id, it] : view.servers)
    {
        for (const auto& [model, adapters] : it.models())
        {
            m_by_version[{it.entry().version, model}].serving +=
                it.is_usable() && it.serves(model) ? 1 : 0;
        }
    }
    for (const auto& [where, running] : view.running)
    {
        const auto& [id, model] = where;
        const auto server = view.servers.find(id);
        if (server != view.servers.end())
        {
            m_by_version[{server->second.entry().version, model}].running +=
                running;
        }
    }
}

std::uint32_t replica_index::streams_that_rely_on(const planner_view& view,
                                                  const server_state& server,
                                                  const model_id& model) const
{
    const auto known = m_by_version.find({server.entry().version, model});
    if (known == m_by_version.end())
    {
        return 0;
    }
    const auto& [running, serving] = known->second;
    const std::uint32_t own =
        server.is_usable() && server.serves(model) ? 1 : 0;
    const bool has_others = serving > own + 1;
    return has_others ? 0 : running - running_at(view, server.id(), model);
}

const replica_counts& replica_index::counts_of(const model_id& model) const
{
    static const replica_counts nowhere;
    const auto it = m_counts.find(model);
    return it == m_counts.end() ? nowhere : it->second;
}

void replica_index::count(const server_state& it, std::int32_t sign)
{
    // For a negative sign, unsigned addition wraps around and subtracts one.
    const auto one = static_cast<std::uint32_t>(sign);
    const auto& pending = it.pending();
    if (pending && pending->what.kind == order_kind::load &&
        pending->what.is_store_load)
    {
        m_store_loads += one;
    }
    if (pending && pending->makes_room_for)
    {
        m_counts[*pending->makes_room_for].pending_evictions += one;
    }
    if (!it.is_usable())
    {
        return;
    }
    const auto add_cached = [&](const model_id& model)
    {
        m_counts[model].cached += one;
        m_counts[model].copies += one;
    };
    for (const model_id& model : it.entry().in_memory)
    {
        add_cached(model);
    }
    for (const model_id& model : it.entry().on_disk)
    {
        if (!it.entry().in_memory.contains(model))
        {
            add_cached(model);
        }
    }
    for (const auto& [model, adapters] : it.models())
    {
        replica_counts& counts = m_counts[model];
        counts.copies += it.has_cached_copy(model) ? 0 : one;
        if (it.serves(model))
        {
            counts.serving += one;
            counts.replicas += one;
        }
    }
    if (pending && it.is_loading(pending->what.copy.model) &&
        !it.models().contains(pending->what.copy.model))
    {
        replica_counts& counts = m_counts[pending->what.copy.model];
        counts.copies += it.has_cached_copy(pending->what.copy.model) ? 0 : one;
        counts.replicas += one;
    }
}

} // namespace cicadahub::replicas
