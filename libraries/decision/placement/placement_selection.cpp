// The part of the placement machine that selects servers for new replicas and
// replicas to evict.

#include "decision/placement/placement_machine.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace cicadahub::placement
{

bool placement_machine::is_usable(const server_id& server) const
{
    const auto at = m_servers.find(server);
    return at != m_servers.end() && at->second.is_reachable &&
           !at->second.spec.is_leaving;
}

replica_record* placement_machine::find_serving_replica(const model_id& model)
{
    replica_record* found = nullptr;
    for (const generation_number generation : m_replicas.of_model(model))
    {
        replica_record& record = *m_replicas.find(generation);
        if (!is_usable(record.decided.server))
        {
            continue;
        }
        if (record.decided.state == replica_state::loaded)
        {
            return &record;
        }
        if (record.decided.state == replica_state::loading)
        {
            found = &record;
        }
    }
    return found;
}

void placement_machine::drain_leaving_servers(time_point now)
{
    for (const server_id& id : m_leaving)
    {
        for (const generation_number generation : m_replicas.on_server(id))
        {
            replica_record& record = *m_replicas.find(generation);
            if (is_evictable(record, now))
            {
                mark_unloading(record);
            }
        }
    }
}

placement_machine::placement_outcome
placement_machine::place(const model_id& model, time_point now)
{
    if (find_serving_replica(model) != nullptr)
    {
        m_demand.erase(model);
        return placement_outcome::done;
    }
    const auto at = m_items.find(model);
    if (at == m_items.end())
    {
        return placement_outcome::impossible;
    }
    const item_spec& item = at->second;
    if (item.base && find_serving_replica(*item.base) == nullptr)
    {
        return place(*item.base, now);
    }
    return place_on_best(item, now);
}

placement_machine::placement_outcome
placement_machine::place_on_best(const item_spec& item, time_point now)
{
    const server_entry* best = nullptr;
    bool is_possible = false;
    const auto is_better =
        [&](const server_entry& left, const server_entry& right)
    {
        const int left_tier = cache_tier(left, item.id);
        const int right_tier = cache_tier(right, item.id);
        if (left_tier != right_tier)
        {
            return left_tier < right_tier;
        }
        return m_replicas.count(left.spec.id) < m_replicas.count(right.spec.id);
    };
    for (const auto& [id, server] : m_servers)
    {
        if (!is_usable(id) || server.spec.memory < item.bytes)
        {
            continue;
        }
        is_possible = true;
        const replica_record* base =
            item.base ? m_replicas.find(*item.base, id) : nullptr;
        if (item.base &&
            (!base || base->decided.state != replica_state::loaded))
        {
            continue;
        }
        if (m_replicas.find(item.id, id) != nullptr)
        {
            // The server is still unloading a former replica of the item.
            continue;
        }
        if (free_bytes(server) < item.bytes.value())
        {
            continue;
        }
        if (best == nullptr || is_better(server, *best))
        {
            best = &server;
        }
    }
    if (!is_possible)
    {
        return placement_outcome::impossible;
    }
    if (best == nullptr)
    {
        make_room(item, now);
        return placement_outcome::waits_for_memory;
    }
    const bool is_adapter = item.base.has_value();
    const bool is_remote = cache_tier(*best, item.id) == 2;
    const std::uint32_t in_flight = m_replicas.loads_in_flight(is_adapter);
    if (is_adapter && !m_budget.can_start_adapter(in_flight))
    {
        return placement_outcome::waits_for_budget;
    }
    if (!is_adapter && is_remote && !m_budget.can_start_model(in_flight, now))
    {
        m_reserved[best->spec.id] += item.bytes.value();
        return placement_outcome::waits_for_budget;
    }
    create_replica(item, *best, now);
    return placement_outcome::done;
}

bool placement_machine::make_room(const item_spec& item, time_point now)
{
    // If the unloads in progress on a server free enough memory, wait for them
    // instead of evicting more replicas.
    for (auto& [id, server] : m_servers)
    {
        const std::int64_t free_after_unloads =
            free_bytes(server) + m_replicas.unloading(id).value();
        const replica_record* base =
            item.base ? m_replicas.find(*item.base, id) : nullptr;
        const bool is_candidate = is_usable(id) &&
                                  m_replicas.find(item.id, id) == nullptr &&
                                  (!item.base || base != nullptr);
        if (is_candidate && free_after_unloads >= item.bytes.value())
        {
            m_reserved[id] += item.bytes.value();
            return true;
        }
    }
    std::optional<std::vector<generation_number>> best;
    time_point best_used{};
    server_id best_server;
    for (const auto& [id, server] : m_servers)
    {
        const replica_record* base =
            item.base ? m_replicas.find(*item.base, id) : nullptr;
        if (!is_usable(id) || (item.base && base == nullptr))
        {
            continue;
        }
        const std::int64_t missing = item.bytes.value() - free_bytes(server) -
                                     m_replicas.unloading(id).value();
        auto chosen = select_victims(server, missing, item.base, now);
        if (!chosen)
        {
            continue;
        }
        time_point last_used{};
        for (const generation_number it : *chosen)
        {
            last_used =
                std::max(last_used, m_replicas.records().at(it).last_used);
        }
        if (!best || last_used < best_used)
        {
            best = std::move(chosen);
            best_used = last_used;
            best_server = id;
        }
    }
    if (!best)
    {
        return false;
    }
    for (const generation_number it : *best)
    {
        mark_unloading(*m_replicas.find(it));
    }
    m_reserved[best_server] += item.bytes.value();
    return true;
}

std::optional<std::vector<generation_number>> placement_machine::select_victims(
    const server_entry& server, std::int64_t missing,
    const std::optional<model_id>& keep, time_point now) const
{
    std::vector<const replica_record*> candidates;
    for (const generation_number it : m_replicas.on_server(server.spec.id))
    {
        const replica_record& record = m_replicas.records().at(it);
        if (record.decided.model != keep && is_evictable(record, now))
        {
            candidates.push_back(&record);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const replica_record* left, const replica_record* right)
              { return left->last_used < right->last_used; });
    std::vector<generation_number> chosen;
    for (const replica_record* record : candidates)
    {
        if (missing <= 0)
        {
            break;
        }
        missing -= freed_by(*record);
        chosen.push_back(record->decided.generation);
    }
    if (missing > 0)
    {
        return std::nullopt;
    }
    return chosen;
}

bool placement_machine::is_evictable(const replica_record& record,
                                     time_point now) const
{
    if (!is_idle(record, now))
    {
        return false;
    }
    const auto adapters = m_replicas.adapters_of(record.decided);
    return std::all_of(adapters.begin(), adapters.end(),
                       [&](generation_number it)
                       { return is_idle(m_replicas.records().at(it), now); });
}

bool placement_machine::is_idle(const replica_record& record,
                                time_point now) const
{
    return record.decided.state == replica_state::loaded &&
           record.in_use == 0 && !m_wakes.has_wakes_for(record.decided.model) &&
           now >= record.last_used + m_timing.minimum_residency;
}

std::int64_t placement_machine::freed_by(const replica_record& record) const
{
    std::int64_t bytes = record.decided.bytes.value();
    for (const generation_number it : m_replicas.adapters_of(record.decided))
    {
        bytes += m_replicas.records().at(it).decided.bytes.value();
    }
    return bytes;
}

void placement_machine::create_replica(const item_spec& item,
                                       const server_entry& server,
                                       time_point now)
{
    replica it;
    it.generation = generation_number(m_next_generation++);
    it.model = item.id;
    it.server = server.spec.id;
    it.bytes = item.bytes;
    it.state = replica_state::loading;
    it.decided_in = m_epoch;
    const std::int64_t used = m_replicas.used(server.spec.id).value();
    CICADAHUB_INVARIANT(used + item.bytes.value() <=
                        server.spec.memory.value());
    const bool is_remote = cache_tier(server, item.id) == 2;
    replica_record& record = m_replicas.add(std::move(it));
    record.last_used = now;
    record.is_remote_load = is_remote;
    if (is_remote && !item.base)
    {
        m_budget.spend_model(now);
    }
    m_is_dirty = true;
}

int placement_machine::cache_tier(const server_entry& server,
                                  const model_id& model) const
{
    if (server.report.loaded.contains(model))
    {
        return 0;
    }
    return server.report.on_disk.contains(model) ? 1 : 2;
}

std::int64_t placement_machine::free_bytes(const server_entry& server) const
{
    const auto reserved = m_reserved.find(server.spec.id);
    return server.spec.memory.value() -
           m_replicas.used(server.spec.id).value() -
           (reserved == m_reserved.end() ? 0 : reserved->second);
}

} // namespace cicadahub::placement
