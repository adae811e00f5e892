#include "entry/placement_duty.hpp"

namespace cicadahub::entry
{

namespace
{

/// Whole digests in which every server is told of again, with or without a
/// change, and servers that each of them tells of at least.
constexpr std::size_t rounds_of_telling = 8;
constexpr std::size_t least_told = 4;

} // namespace

void placement_duty::publish(const server_id& id)
{
    const auto* state = find(id);
    if (state == nullptr)
    {
        return;
    }
    ordered_holdings it;
    it.incarnation = state->entry().incarnation;
    for (const auto& [model, adapters] : state->models())
    {
        if (state->serves(model))
        {
            it.models[model] = adapters;
        }
    }
    if (state->pending() &&
        state->pending()->what.kind == replicas::order_kind::load)
    {
        it.loading = state->pending()->what.copy.model;
        it.loaded_at = state->pending()->due_at;
    }
    m_inputs.servers.on_ordered(id, std::move(it));
    m_untold.insert(id);
    m_on_holdings_changed();
}

std::set<server_id> placement_duty::servers_to_tell(bool is_update)
{
    std::set<server_id> servers = std::exchange(m_untold, {});
    const auto& records = m_inputs.servers.records();
    if (is_update || records.empty())
    {
        return servers;
    }
    const std::size_t part =
        std::max(least_told, records.size() / rounds_of_telling);
    auto it = records.upper_bound(m_last_told);
    for (std::size_t n = std::min(part, records.size()); n > 0; --n, ++it)
    {
        if (it == records.end())
        {
            it = records.begin();
        }
        servers.insert(it->first);
        m_last_told = it->first;
    }
    return servers;
}

void placement_duty::fill(fleet::wire::Digest& digest, time_point now)
{
    if (!is_held())
    {
        return;
    }
    digest.__set_placement_epoch(
        static_cast<std::int64_t>(m_shard.epoch().value()));
    digest.__set_lease_version(
        static_cast<std::int64_t>(m_shard.version().value()));
    for (const server_id& id : servers_to_tell(digest.is_update))
    {
        const auto record = m_inputs.servers.find(id);
        if (!record || !record->ordered)
        {
            continue;
        }
        const ordered_holdings& told = *record->ordered;
        fleet::wire::HeldModels held;
        held.server = id.value();
        held.incarnation = told.incarnation;
        for (const auto& [model, adapters] : told.models)
        {
            auto& names = held.models[model.value()];
            for (const adapter_id& it : adapters)
            {
                names.push_back(it.value());
            }
        }
        if (told.loading)
        {
            held.loading = told.loading->value();
            held.loading_ms = static_cast<std::int32_t>(
                std::chrono::duration_cast<milliseconds>(told.loaded_at - now)
                    .count());
        }
        digest.holdings.push_back(std::move(held));
    }
}

} // namespace cicadahub::entry
