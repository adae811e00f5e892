#include "daemon/host_directory.hpp"

#include "core/event_log.hpp"
#include "core/json_reader.hpp"

namespace cicadahub::daemon
{

namespace
{

host_entry read_host(const platform::stored_object& object)
{
    const json_reader spec(object.spec);
    host_entry it;
    it.id = server_id(object.name);
    it.role =
        spec.text("role") == "service" ? host_role::service : host_role::engine;
    it.address = http::parse_endpoint(spec.text("address"));
    it.data_centre = data_centre_id(spec.text_or("data_centre", ""));
    it.memory = byte_count(spec.integer_or("memory_bytes", 0));
    it.slots = static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, spec.integer_or("slots", 1)));
    it.is_fencing = spec.boolean_or("fencing", false);
    it.is_leaving = spec.boolean_or("leaving", false);
    if (object.spec.contains("routes"))
    {
        for (const boost::json::value& route : spec.array("routes"))
        {
            it.routes.emplace_back(std::string(route.as_string()));
        }
    }
    return it;
}

} // namespace

void host_directory::apply(const platform::stored_object& object)
{
    const server_id id(object.name);
    if (json_reader(object.spec).boolean_or("deleted", false))
    {
        m_hosts.erase(id);
        return;
    }
    m_listed.insert(id);
    try
    {
        host_entry it = read_host(object);
        const auto former = m_hosts.find(id);
        it.load = former == m_hosts.end()
                      ? std::make_shared<routing::server_load>()
                      : former->second.load;
        m_hosts.insert_or_assign(id, std::move(it));
    }
    catch (const malformed_document& reason)
    {
        CICADAHUB_EVENT(WARNING, malformed_object)
            << "host=" << id << " reason=" << reason.what();
    }
}

void host_directory::end_list()
{
    std::erase_if(m_hosts, [this](const auto& it)
                  { return !m_listed.contains(it.first); });
}

const host_entry* host_directory::find(const server_id& id) const
{
    const auto at = m_hosts.find(id);
    return at == m_hosts.end() ? nullptr : &at->second;
}

std::vector<placement::server_spec> host_directory::engines() const
{
    std::vector<placement::server_spec> specs;
    for (const auto& [id, it] : m_hosts)
    {
        if (it.role == host_role::engine)
        {
            specs.push_back(
                {id, it.memory, it.slots, it.is_fencing, it.is_leaving});
        }
    }
    return specs;
}

} // namespace cicadahub::daemon
