#pragma once

#include "decision/placement/types.hpp"
#include "decision/routing/routing_table.hpp"
#include "http/types.hpp"
#include "platform/stored_object.hpp"

#include <map>
#include <optional>

namespace cicadahub::daemon
{

enum class host_role
{
    engine,
    service,
};

/// One backend server of the platform's live list.
struct host_entry
{
    server_id id;
    host_role role = host_role::engine;
    http::endpoint address;
    data_centre_id data_centre;
    byte_count memory;
    std::uint32_t slots = 1;
    bool is_fencing = false;
    bool is_leaving = false;
    /// Routes that a plain service answers.
    std::vector<route_id> routes;
    std::shared_ptr<routing::server_load> load;
};

/// The live list as this daemon has last seen it.
class host_directory
{
public:
    /// Takes one object of the list; a deleted one removes the host.
    void apply(const platform::stored_object& it);

    /// Begins a whole list: hosts that it does not name are gone at its end.
    void begin_list() { m_listed.clear(); }
    void end_list();

    const host_entry* find(const server_id& id) const;
    const std::map<server_id, host_entry>& hosts() const { return m_hosts; }
    std::vector<placement::server_spec> engines() const;

private:
    std::map<server_id, host_entry> m_hosts;
    std::set<server_id> m_listed;
};

} // namespace cicadahub::daemon
