#pragma once

#include "fleet.hpp"
#include "host_links.hpp"

#include <boost/json.hpp>

#include <functional>
#include <map>

namespace cicadahub::system_tests
{

/// Services to which a route leads, with their weights.
using shares = std::map<std::string, int>;

struct stream_route
{
    shares services{{"engines", 1}};
    std::string name = "stream";
    std::string prefix = "/stream/";
    bool is_resumable = true;
    bool is_public = false;
};

/// Runs entry daemons against a simulated platform of the users: a metadata
/// store, engines with 250 MB of memory for models of 100 MB each, a plain
/// service, and a configuration with one organisation.
class platform_fleet
{
public:
    struct daemon
    {
        std::unique_ptr<process> program;
        std::string name;
        std::string callers;
        std::string readiness;
        std::string settings_file;
        std::unique_ptr<host_links> links;
    };

    struct worker
    {
        std::unique_ptr<process> program;
        std::string id;
        std::string address;
    };

    /// What tests add to the settings and the configuration.
    struct additions
    {
        std::string settings;
        std::string bounds;
        /// Members of the plain service, and of the routes to it.
        boost::json::object service;
        boost::json::object route;
    };

    /// `has_links` gives each daemon links of its own to the servers. The
    /// data centres have three daemons each.
    explicit platform_fleet(int daemon_count, bool has_links = false,
                            additions added = {});

    void start_daemon(std::size_t n);
    bool is_ready(std::size_t n) const;
    std::size_t add_worker(const std::string& service, const std::string& id,
                           const std::vector<std::string>& more);

    /// Kills a server of the plain service and starts it again under its id and
    /// address.
    void restart_service(std::size_t n);
    /// Kills an engine and starts it again under its id and address.
    void restart_worker(std::size_t engine,
                        const std::vector<std::string>& more);

    /// Writes a configuration with this version. `keys` are the API keys of the
    /// organisation; each prefix adds a route to the plain service.
    void write_configuration(int version, const std::vector<std::string>& keys,
                             const std::vector<std::string>& prefixes = {},
                             const std::vector<stream_route>& streams = {{}});

    /// Writes the next version of the configuration with changes to its
    /// members.
    void change_configuration(
        const std::function<void(boost::json::object& spec)>& change) const;

    answer stream(std::size_t n, const std::string& id,
                  const std::string& model,
                  const std::string& key = "key-of-trust",
                  const std::string& path = "/stream/x") const;
    /// The same with parts of the prompt, and a body that no other request has.
    answer stream_prompt(std::size_t n, const std::string& id,
                         const std::string& model,
                         const std::string& prompt) const;
    answer plain(std::size_t n, const std::string& id, http::verb method,
                 const std::string& path,
                 const std::string& key = "key-of-trust") const;

    void set_fault(const std::string& address, const std::string& json) const;
    /// Sum of a counter over all engines.
    std::int64_t engine_total(const std::string& member) const;
    bool is_memory_respected() const;
    /// How often each request was executed, by all servers together.
    std::map<std::string, std::int64_t> count_runs() const;

    std::string store;
    std::vector<daemon> daemons;
    std::vector<worker> engines;
    std::vector<worker> services;

private:
    additions m_added;
    std::string m_folder = make_folder();
    std::unique_ptr<process> m_store_program;
};

} // namespace cicadahub::system_tests
