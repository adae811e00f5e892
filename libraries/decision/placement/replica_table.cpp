#include "decision/placement/replica_table.hpp"

#include "core/invariant.hpp"

namespace cicadahub::placement
{

namespace
{

const std::set<generation_number> no_generations;

} // namespace

replica_record& replica_table::add(replica it)
{
    CICADAHUB_INVARIANT(find(it.model, it.server) == nullptr);
    usage& used = m_usage[it.server];
    used.bytes += it.bytes.value();
    used.replicas.insert(it.generation);
    m_by_model[it.model].insert(it.generation);
    auto [at, is_new] = m_records.emplace(it.generation, replica_record{});
    CICADAHUB_INVARIANT(is_new);
    if (it.state != replica_state::loaded)
    {
        m_pending.insert(it.generation);
    }
    at->second.decided = std::move(it);
    return at->second;
}

void replica_table::remove(generation_number generation)
{
    const auto at = m_records.find(generation);
    CICADAHUB_INVARIANT(at != m_records.end());
    const replica& it = at->second.decided;
    usage& used = m_usage[it.server];
    used.bytes -= it.bytes.value();
    used.replicas.erase(generation);
    auto by_model = m_by_model.find(it.model);
    by_model->second.erase(generation);
    if (by_model->second.empty())
    {
        m_by_model.erase(by_model);
    }
    m_pending.erase(generation);
    m_records.erase(at);
}

void replica_table::clear()
{
    m_records.clear();
    m_usage.clear();
    m_by_model.clear();
    m_pending.clear();
}

void replica_table::set_state(replica_record& record, replica_state state)
{
    record.decided.state = state;
    if (state == replica_state::loaded)
    {
        m_pending.erase(record.decided.generation);
    }
    else
    {
        m_pending.insert(record.decided.generation);
    }
}

replica_record* replica_table::find(generation_number generation)
{
    const auto at = m_records.find(generation);
    return at == m_records.end() ? nullptr : &at->second;
}

replica_record* replica_table::find(const model_id& model,
                                    const server_id& server)
{
    const auto by_model = m_by_model.find(model);
    if (by_model == m_by_model.end())
    {
        return nullptr;
    }
    for (const generation_number generation : by_model->second)
    {
        replica_record& record = m_records.at(generation);
        if (record.decided.server == server)
        {
            return &record;
        }
    }
    return nullptr;
}

byte_count replica_table::used(const server_id& server) const
{
    const auto at = m_usage.find(server);
    return byte_count(at == m_usage.end() ? 0 : at->second.bytes);
}

byte_count replica_table::unloading(const server_id& server) const
{
    const auto at = m_usage.find(server);
    std::int64_t bytes = 0;
    if (at == m_usage.end())
    {
        return byte_count(bytes);
    }
    for (const generation_number generation : at->second.replicas)
    {
        const replica& it = m_records.at(generation).decided;
        bytes += it.state == replica_state::unloading ? it.bytes.value() : 0;
    }
    return byte_count(bytes);
}

std::size_t replica_table::count(const server_id& server) const
{
    const auto at = m_usage.find(server);
    return at == m_usage.end() ? 0 : at->second.replicas.size();
}

std::uint32_t replica_table::loads_in_flight(bool of_adapters) const
{
    std::uint32_t n = 0;
    for (const generation_number generation : m_pending)
    {
        const replica_record& record = m_records.at(generation);
        const bool is_adapter = base_of(record.decided.model).has_value();
        if (record.decided.state == replica_state::loading &&
            is_adapter == of_adapters && (is_adapter || record.is_remote_load))
        {
            ++n;
        }
    }
    return n;
}

const std::set<generation_number>&
replica_table::on_server(const server_id& server) const
{
    const auto at = m_usage.find(server);
    return at == m_usage.end() ? no_generations : at->second.replicas;
}

const std::set<generation_number>&
replica_table::of_model(const model_id& model) const
{
    const auto at = m_by_model.find(model);
    return at == m_by_model.end() ? no_generations : at->second;
}

std::vector<generation_number>
replica_table::adapters_of(const replica& base) const
{
    std::vector<generation_number> adapters;
    for (const generation_number generation : on_server(base.server))
    {
        if (base_of(m_records.at(generation).decided.model) == base.model)
        {
            adapters.push_back(generation);
        }
    }
    return adapters;
}

std::optional<model_id> base_of(const model_id& id)
{
    const std::size_t colon = id.value().find(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    return model_id(id.value().substr(0, colon));
}

} // namespace cicadahub::placement
