#pragma once

#include "core/ids.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadahub::routing
{

/// Load of one server as known to this daemon. Shared by all threads and by
/// successive routing tables.
struct server_load
{
    /// Requests of this daemon that are in flight there.
    std::atomic<std::uint32_t> in_flight{0};
    /// Requests of the whole fleet, as last reported by the server.
    std::atomic<std::uint32_t> reported_running{0};
    std::atomic<std::uint32_t> reported_waiting{0};
};

/// A server to which a request can be sent.
struct target
{
    server_id server;
    std::string address;
    std::uint32_t slots = 1;
    std::shared_ptr<server_load> load;
};

/// Servers by the models and services that they serve. A change replaces the
/// whole table.
struct routing_table
{
    std::unordered_map<model_id, std::vector<target>> models;
    std::map<route_id, std::vector<target>> services;
    std::map<server_id, target> servers;
};

/// Returns the target with the fewest requests per slot, ignoring the servers
/// in `excluded`; null if no target remains.
const target* least_loaded(const std::vector<target>& targets,
                           const std::vector<server_id>& excluded);

/// Counts a request as in flight at a server for the lifetime of the guard.
class load_guard
{
public:
    explicit load_guard(std::shared_ptr<server_load> load)
        : m_load(std::move(load))
    {
        ++m_load->in_flight;
    }
    ~load_guard() { --m_load->in_flight; }
    load_guard(const load_guard&) = delete;
    load_guard& operator=(const load_guard&) = delete;

private:
    std::shared_ptr<server_load> m_load;
};

} // namespace cicadahub::routing
