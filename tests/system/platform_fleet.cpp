#include "platform_fleet.hpp"

#include "http/request_target.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <thread>

namespace cicadahub::system_tests
{

namespace
{

constexpr int daemons_per_data_centre = 3;
/// Loopback hosts from here on are the ends of links.
constexpr unsigned first_link_host = 100;

boost::json::object route(const std::string& name, const std::string& prefix,
                          const std::string& kind, const std::string& service)
{
    return {{"name", name},
            {"host", "trust.example"},
            {"pathPrefix", prefix},
            {"kind", kind},
            {"timeoutMs", 8000},
            {"targetLatencyMs", 600},
            {"targetGapMs", 400},
            {"priority", 0},
            {"service", service},
            {"maxAttempts", 2},
            {"public", false},
            {"sessionAffinity", false},
            {"resumable", kind == "stream"}};
}

boost::json::object to_json(const stream_route& it)
{
    boost::json::object json =
        route(it.name, it.prefix, "stream", it.services.begin()->first);
    json["resumable"] = it.is_resumable;
    json["public"] = it.is_public;
    if (it.services.size() > 1)
    {
        json.erase("service");
        boost::json::array& split = json["split"].emplace_array();
        for (const auto& [name, weight] : it.services)
        {
            split.push_back({{"service", name}, {"weight", weight}});
        }
    }
    return json;
}

boost::json::object engine_service(const std::string& name)
{
    boost::json::array models;
    for (const char* model : {"m1", "m2", "m3", "m4"})
    {
        models.push_back({{"name", model},
                          {"weightsSize", 100.0},
                          {"loadS", 0.6},
                          {"warmS", 0.1},
                          {"diskS", 0.15},
                          {"adapters", 4},
                          {"adapterMb", 1.0}});
    }
    boost::json::object engine{
        {"slots", 8},           {"kvCapacity", 100000},
        {"weightsSize", 250.0}, {"adapterSlots", 2},
        {"loadsPerS", 10.0},    {"models", std::move(models)}};
    return {{"name", name}, {"maxConns", 100}, {"engine", std::move(engine)}};
}

} // namespace

platform_fleet::platform_fleet(int daemon_count, bool has_links,
                               additions added)
    : m_added(std::move(added))
{
    store = free_address();
    m_store_program = std::make_unique<process>(
        "utilities/cicada-standin",
        std::vector<std::string>{"objects", "--listen", store});
    EXPECT_TRUE(eventually(
        [&] { return call(store, http::verb::get, "/stats").status == 200; }));
    write_configuration(1, {"key-of-trust"});
    add_worker("engines", "e1", {"--megabytes", "250", "--preload", "m1"});
    add_worker("engines", "e2", {"--megabytes", "250", "--preload", "m2"});
    add_worker("ledger", "l1", {});
    add_worker("ledger", "l2", {});
    const auto port_of = [](const std::string& address)
    {
        return address.substr(address.find(':') + 1);
    };
    const std::string port = port_of(free_address());
    for (int n = 0; n < daemon_count; ++n)
    {
        daemon it;
        it.name = "entry-" + std::to_string(n);
        // All hosts use the same port for fleet traffic, so that each needs its
        // own loopback address.
        const auto host = static_cast<unsigned>(n + 2);
        it.callers = free_address(host);
        it.readiness = free_address(host);
        it.settings_file = m_folder + "/" + it.name + ".toml";
        if (has_links)
        {
            it.links =
                std::make_unique<host_links>(host + first_link_host, store);
            for (const auto* group : {&engines, &services})
            {
                for (const worker& server : *group)
                {
                    it.links->add_server(server.address);
                }
            }
        }
        std::ofstream(it.settings_file)
            << "node = \"" << it.name << "\"\nzone = \"dc-"
            << n / daemons_per_data_centre + 1 << "\"\n"
            << "portRange = [" << port << "," << port << "]\n"
            << "seeds = [\"" << loopback_host(2) << ":9\",\""
            << loopback_host(3) << ":9\"]\n"
            << "something_new = 3\n"
            << m_added.settings << "[listen]\nfront = \"" << it.callers
            << "\"\nready = \"" << it.readiness << "\"\n[bounds]\ngraceS = 8\n"
            << "leaseMs = 1500\nbudgetRatio = 0.2\nbudgetExtra = 50\n"
            << m_added.bounds << "[platform]\naddress = \""
            << (it.links ? it.links->store() : store) << "\"\n";
        daemons.push_back(std::move(it));
    }
    for (std::size_t n = 0; n < daemons.size(); ++n)
    {
        start_daemon(n);
    }
    for (std::size_t n = 0; n < daemons.size(); ++n)
    {
        EXPECT_TRUE(eventually([&] { return is_ready(n); }))
            << daemons[n].program->output();
    }
}

void platform_fleet::start_daemon(std::size_t n)
{
    daemon& it = daemons[n];
    it.program.reset();
    it.program = std::make_unique<process>(
        "services/cicada-entry",
        std::vector<std::string>{"--settings", it.settings_file});
}

bool platform_fleet::is_ready(std::size_t n) const
{
    return call(daemons[n].readiness, http::verb::get, "/v1/ready").status ==
           200;
}

void platform_fleet::restart_service(std::size_t n)
{
    worker& it = services[n];
    it.program.reset();
    // A start takes some time, in which hosts find that the server has ended.
    std::this_thread::sleep_for(milliseconds(300));
    it.program = std::make_unique<process>(
        "utilities/cicada-standin",
        std::vector<std::string>{"worker", "--listen", it.address, "--store",
                                 store, "--id", it.id, "--service", "ledger"});
    EXPECT_TRUE(eventually(
        [&]
        { return call(it.address, http::verb::get, "/stats").status == 200; }));
}

void platform_fleet::restart_worker(std::size_t engine,
                                    const std::vector<std::string>& more)
{
    worker& it = engines[engine];
    it.program.reset();
    std::vector<std::string> arguments{"worker",  "--listen",  it.address,
                                       "--store", store,       "--id",
                                       it.id,     "--service", "engines"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    it.program =
        std::make_unique<process>("utilities/cicada-standin", arguments);
    EXPECT_TRUE(eventually(
        [&]
        { return call(it.address, http::verb::get, "/stats").status == 200; }));
}

std::size_t platform_fleet::add_worker(const std::string& service,
                                       const std::string& id,
                                       const std::vector<std::string>& more)
{
    auto& group = service == "ledger" ? services : engines;
    worker it;
    it.id = id;
    it.address = free_address();
    std::vector<std::string> arguments{"worker",  "--listen",  it.address,
                                       "--store", store,       "--id",
                                       id,        "--service", service};
    arguments.insert(arguments.end(), more.begin(), more.end());
    for (const daemon& host : daemons)
    {
        if (host.links)
        {
            host.links->add_server(it.address);
        }
    }
    it.program =
        std::make_unique<process>("utilities/cicada-standin", arguments);
    EXPECT_TRUE(eventually(
        [&]
        { return call(it.address, http::verb::get, "/stats").status == 200; }));
    EXPECT_TRUE(eventually(
        [&]
        {
            return call(store, http::verb::get,
                        "/v1/objects/servers/" + http::percent_encode(id))
                       .status == 200;
        }));
    group.push_back(std::move(it));
    return group.size() - 1;
}

void platform_fleet::write_configuration(
    int version, const std::vector<std::string>& keys,
    const std::vector<std::string>& prefixes,
    const std::vector<stream_route>& streams)
{
    boost::json::array routes;
    std::set<std::string> engine_services{"engines"};
    for (const stream_route& it : streams)
    {
        routes.push_back(to_json(it));
        for (const auto& [name, weight] : it.services)
        {
            engine_services.insert(name);
        }
    }
    boost::json::object once = route("once", "/once/", "stream", "engines");
    once["resumable"] = false;
    once["maxAttempts"] = 1;
    routes.push_back(std::move(once));
    routes.push_back(route("post", "/post/", "unsafe", "ledger"));
    routes.push_back(route("read", "/read/", "safe", "ledger"));
    for (const std::string& it : prefixes)
    {
        routes.push_back(route("more-" + it, it, "safe", "ledger"));
    }
    boost::json::array names;
    for (const std::string& it : keys)
    {
        names.emplace_back(it);
    }
    for (boost::json::value& it : routes)
    {
        boost::json::object& plain = it.as_object();
        if (plain.contains("service") && plain.at("service") == "ledger")
        {
            plain.insert(m_added.route.begin(), m_added.route.end());
        }
    }
    boost::json::array all;
    boost::json::object ledger{{"name", "ledger"}, {"maxConns", 100}};
    ledger.insert(m_added.service.begin(), m_added.service.end());
    all.push_back(std::move(ledger));
    for (const std::string& it : engine_services)
    {
        all.push_back(engine_service(it));
    }
    const boost::json::object spec{{"version", version},
                                   {"routes", std::move(routes)},
                                   {"services", std::move(all)},
                                   {"limits",
                                    {{"maxHeaderBytes", 4096},
                                     {"maxBodyBytes", 65536},
                                     {"headerTimeoutMs", 1000},
                                     {"idleTimeoutMs", 5000}}},
                                   {"tenants",
                                    {{{"name", "trust"},
                                      {"apiKeys", std::move(names)},
                                      {"unit", "token_stream"},
                                      {"plainTokens", 10},
                                      {"ratePerS", 100000},
                                      {"burst", 100000}}}}};
    const std::string body = boost::json::serialize(
        boost::json::object{{"metadata", {{"name", "main"}}}, {"spec", spec}});
    const std::string kind = "/v1/objects/config";
    if (call(store, http::verb::put, kind + "/main", body).status == 404)
    {
        EXPECT_EQ(call(store, http::verb::post, kind, body).status, 201U);
    }
}

void platform_fleet::change_configuration(
    const std::function<void(boost::json::object& spec)>& change) const
{
    const std::string path = "/v1/objects/config/main";
    boost::json::value next =
        boost::json::parse(call(store, http::verb::get, path).body);
    boost::json::object& spec = next.as_object().at("spec").as_object();
    spec["version"] = spec.at("version").as_int64() + 1;
    change(spec);
    const boost::json::object body{{"metadata", {{"name", "main"}}},
                                   {"spec", std::move(spec)}};
    EXPECT_EQ(
        call(store, http::verb::put, path, boost::json::serialize(body)).status,
        200U);
}

answer platform_fleet::stream(std::size_t n, const std::string& id,
                              const std::string& model, const std::string& key,
                              const std::string& path) const
{
    return call(daemons[n].callers, http::verb::post, path, "prompt",
                {{"Host", "trust.example"},
                 {"Request-Id", id},
                 {"Authorization", "Bearer " + key},
                 {"Model", model},
                 {"Token-Count", "20,16"},
                 {"Prompt-Prefix", "aa:10,bb:10"},
                 {"Deadline-Ms", "8000"}});
}

answer platform_fleet::stream_prompt(std::size_t n, const std::string& id,
                                     const std::string& model,
                                     const std::string& prompt) const
{
    return call(daemons[n].callers, http::verb::post, "/stream/x", id,
                {{"Host", "trust.example"},
                 {"Request-Id", id},
                 {"Authorization", "Bearer key-of-trust"},
                 {"Model", model},
                 {"Token-Count", "30,16"},
                 {"Prompt-Prefix", prompt},
                 {"Deadline-Ms", "8000"}});
}

answer platform_fleet::plain(std::size_t n, const std::string& id,
                             http::verb method, const std::string& path,
                             const std::string& key) const
{
    return call(daemons[n].callers, method, path,
                method == http::verb::get ? "" : "entry",
                {{"Host", "trust.example"},
                 {"Request-Id", id},
                 {"Authorization", "Bearer " + key},
                 {"Deadline-Ms", "3000"}});
}

void platform_fleet::set_fault(const std::string& address,
                               const std::string& json) const
{
    EXPECT_EQ(call(address, http::verb::put, "/faults", json).status, 200U);
}

std::int64_t platform_fleet::engine_total(const std::string& member) const
{
    std::int64_t sum = 0;
    for (const worker& it : engines)
    {
        sum += read_stat(it.address, member);
    }
    return sum;
}

std::map<std::string, std::int64_t> platform_fleet::count_runs() const
{
    std::map<std::string, std::int64_t> runs;
    for (const auto* group : {&engines, &services})
    {
        for (const worker& it : *group)
        {
            const answer seen = call(it.address, http::verb::get, "/runs");
            for (const auto& entry : parse_json_object(seen.body))
            {
                runs[std::string(entry.key())] += entry.value().as_int64();
            }
        }
    }
    return runs;
}

bool platform_fleet::is_memory_respected() const
{
    return std::all_of(engines.begin(), engines.end(),
                       [](const worker& it)
                       {
                           return read_stat(it.address, "most_megabytes") <=
                                  read_stat(it.address, "megabytes");
                       });
}

} // namespace cicadahub::system_tests
