#include "decision/replicas/replica_index.hpp"

namespace cicadahub::replicas
{

replica_index::replica_index(const planner_view& view)
{
    for (const auto& [id, it] : view.servers)
    {
        add(it);
    }
    for (const want& it : view.wants)
    {
        m_wanted.insert(it.copy.model);
    }
}

const model_places& replica_index::places_of(const model_id& model) const
{
    static const model_places nowhere;
    const auto it = m_places.find(model);
    return it == m_places.end() ? nowhere : it->second;
}

void replica_index::count(const server_state& it, std::int32_t sign)
{
    // Adding the two's complement of one takes one away.
    const auto one = static_cast<std::uint32_t>(sign);
    const auto& pending = it.pending();
    if (pending && pending->what.kind == order_kind::load &&
        pending->what.is_store_load)
    {
        m_store_loads += one;
    }
    if (pending && pending->makes_room_for)
    {
        m_places[*pending->makes_room_for].rooms += one;
    }
    if (!it.is_usable())
    {
        return;
    }
    const auto add_near = [&](const model_id& model)
    {
        m_places[model].near += one;
        m_places[model].copies += one;
    };
    for (const model_id& model : it.entry().in_memory)
    {
        add_near(model);
    }
    for (const model_id& model : it.entry().on_disk)
    {
        if (!it.entry().in_memory.contains(model))
        {
            add_near(model);
        }
    }
    for (const auto& [model, adapters] : it.models())
    {
        model_places& places = m_places[model];
        places.copies += it.has_near_copy(model) ? 0 : one;
        if (it.serves(model))
        {
            places.serving += one;
            places.replicas += one;
        }
    }
    if (pending && it.is_loading(pending->what.copy.model) &&
        !it.models().contains(pending->what.copy.model))
    {
        model_places& places = m_places[pending->what.copy.model];
        places.copies += it.has_near_copy(pending->what.copy.model) ? 0 : one;
        places.replicas += one;
    }
}

} // namespace cicadahub::replicas
