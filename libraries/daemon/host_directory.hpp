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

/// One backend server in the platform's list of live hosts.
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
    /// Routes that the server serves if it is a plain service.
    std::vector<route_id> routes;
    std::shared_ptr<routing::server_load> load;
};

/// The platform's list of live hosts as last seen by this daemon.
class host_directory
{
public:
    /// Applies one object of the list; a tombstone removes the host.
    void apply(const platform::stored_object& it);

    /// Starts a full list; `end_list` removes the hosts that were not in it.
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
