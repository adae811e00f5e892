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

/// What this daemon knows of one server's load. Shared by every thread and by
/// successive tables.
struct server_load
{
    /// Requests of this daemon that run there now.
    std::atomic<std::uint32_t> in_flight{0};
    /// Requests of the whole fleet, as the server last reported them.
    std::atomic<std::uint32_t> reported_running{0};
    std::atomic<std::uint32_t> reported_waiting{0};
};

/// A server that a request can go to.
struct target
{
    server_id server;
    std::string address;
    std::uint32_t slots = 1;
    std::shared_ptr<server_load> load;
};

/// Which servers take which work; replaced as a whole when it changes.
struct routing_table
{
    std::unordered_map<model_id, std::vector<target>> models;
    std::map<route_id, std::vector<target>> services;
    std::map<server_id, target> servers;
};

/// The target with the least work a slot; none if there is no target. Targets
/// in `excluded` are passed over.
const target* least_loaded(const std::vector<target>& targets,
                           const std::vector<server_id>& excluded);

/// Counts one request as running on a server.
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
