#include "entry/placement/placement_controller.hpp"

namespace cicadahub::entry
{

namespace
{

/// Full digests publish the holdings of all servers round-robin, changed or
/// not. A round takes about this many digests, or fewer, since each lists at
/// least `min_servers_per_digest` servers.
constexpr std::size_t digests_per_full_round = 8;
constexpr std::size_t min_servers_per_digest = 4;

} // namespace

void placement_controller::publish_holdings(const server_id& id)
{
    const auto* state = find(id);
    if (state == nullptr)
    {
        return;
    }
    published_holdings it;
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
    m_inputs.servers.on_published(id, std::move(it));
    m_unpublished.insert(id);
    m_on_holdings_changed();
}

std::set<server_id> placement_controller::servers_to_publish(bool is_update)
{
    std::set<server_id> servers = std::exchange(m_unpublished, {});
    const auto& records = m_inputs.servers.records();
    if (is_update || records.empty())
    {
        return servers;
    }
    const std::size_t part = std::max(min_servers_per_digest,
                                      records.size() / digests_per_full_round);
    auto it = records.upper_bound(m_last_published);
    for (std::size_t n = std::min(part, records.size()); n > 0; --n, ++it)
    {
        if (it == records.end())
        {
            it = records.begin();
        }
        servers.insert(it->first);
        m_last_published = it->first;
    }
    return servers;
}

void placement_controller::fill(fleet::wire::Digest& digest, time_point now)
{
    if (!is_held())
    {
        return;
    }
    digest.__set_placement_epoch(
        static_cast<std::int64_t>(m_shard.epoch().value()));
    digest.__set_lease_version(
        static_cast<std::int64_t>(m_shard.version().value()));
    for (const server_id& id : servers_to_publish(digest.is_update))
    {
        const auto record = m_inputs.servers.find(id);
        if (!record || !record->published)
        {
            continue;
        }
        const published_holdings& published = *record->published;
        fleet::wire::HeldModels held;
        held.server = id.value();
        held.incarnation = published.incarnation;
        for (const auto& [model, adapters] : published.models)
        {
            auto& names = held.models[model.value()];
            for (const adapter_id& it : adapters)
            {
                names.push_back(it.value());
            }
        }
        if (published.loading)
        {
            held.loading = published.loading->value();
            held.loading_ms = static_cast<std::int32_t>(
                std::chrono::duration_cast<milliseconds>(published.loaded_at -
                                                         now)
                    .count());
        }
        digest.holdings.push_back(std::move(held));
    }
}

} // namespace cicadahub::entry
