#pragma once

// A small deployment: the store, workers and entry hosts of a script.

#include "store.hh"
#include "worker.hh"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <filesystem>

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

namespace stage
{

struct host
{
    std::string name;
    address front;
    address ready;
    std::string settings;
    pid_t pid = -1;
};

struct started_worker
{
    worker_options given;
    pid_t pid = -1;
};

struct route_options
{
    std::string name;
    std::string prefix;
    std::string kind = "stream";
    std::string service;
    bool is_resumable = true;
    int timeout_ms = 17'000;
    int max_attempts = 2;
};

class fleet
{
public:
    /// `self` is the path of this program, `root` the repository.
    fleet(std::string self, std::string root, std::string folder,
          std::size_t hosts, int memory_mb = 260, int descriptors = 4'100)
        : m_self(std::move(self)), m_root(std::move(root)),
          m_folder(std::move(folder)), m_descriptors(descriptors)
    {
        std::vector<std::string> ips{"127.0.0.1"};
        for (std::size_t n = 0; n < hosts; ++n)
        {
            ips.push_back("127.0.0." + std::to_string(n + 2));
        }
        const int fleet_port = free_port(ips);
        const int front_port = free_port(ips);
        const int ready_port = free_port(ips);
        store_at = {"127.0.0.1", free_port({"127.0.0.1"})};
        platform = new store(store_at);
        for (std::size_t n = 0; n < hosts; ++n)
        {
            host it;
            const std::string ip = ips[n + 1];
            it.name = "front-" + std::to_string(n + 1);
            it.front = {ip, front_port};
            it.ready = {ip, ready_port};
            it.settings = m_folder + "/" + it.name + ".toml";
            std::ofstream(it.settings)
                << "node = \"" << it.name << "\"\n"
                << "role = \"entry\"\nmachineClass = \"front\"\n"
                << "serves = [\"front\"]\nip = \"" << ip << "\"\n"
                << "zone = \"dc-1\"\nregion = \"here\"\n"
                << "portRange = [" << fleet_port << "," << fleet_port + 15
                << "]\nseeds = [\"127.0.0.2:9\",\"127.0.0.3:9\"]\n"
                << "bootstrap = true\ndiscovery = \"platform\"\n"
                << "entry = \"vip\"\nheartbeatMs = 1200\n"
                << "contracts = [\"base\",\"drain\",\"config\",\"cost\","
                   "\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\","
                   "\"tenants\",\"quota\",\"platform\"]\n"
                << "[zones]\ndc-1 = \"here\"\n"
                << "[listen]\nfront = \"" << it.front.text() << "\"\nready = \""
                << it.ready.text() << "\"\n"
                << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = "
                << memory_mb << "\nmaxFds = " << descriptors
                << "\nlinkMbps = 1000.0\ndiskMb = 0\n"
                << "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
                << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\n"
                   "contactMs = 3000\nackMs = 4000\ncatchUpS = 4\n"
                   "drainMs = 2000\ngraceS = 8\nlostSlackMs = 200\n"
                   "configApplyMs = 2000\ndowngradeSlackMs = 250\n"
                   "maxStretchMs = 5000\nstrictRevoke = false\n"
                   "revokeMs = 5000\nbudgetRatio = 0.2\nbudgetWindowS = 10\n"
                   "budgetExtra = 56\nquotaWindowS = 8\nquotaOverage = 0.1\n"
                   "quotaSlack = 110000\nrecoverS = 12\npassMs = 120\n"
                   "retryAfterS = 0\nrequireFence = false\nleaseMs = 3000\n"
                   "thawSlackMs = 300\nceilingWindowS = 5\n"
                   "ceilingFactor = 1.1\n"
                << "[platform]\naddress = \"" << store_at.text()
                << "\"\nform = \"objects\"\nwritesPerS = 400\n"
                   "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
                   "ttlMinMs = 1000\n";
            all.push_back(std::move(it));
        }
    }

    ~fleet()
    {
        for (const host& it : all)
        {
            end(it.pid);
        }
        for (const started_worker& it : workers)
        {
            end(it.pid);
        }
    }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start_host(std::size_t n)
    {
        host& it = all[n];
        it.pid = start({m_root + "/target/services/cicada-entry"},
                       m_folder + "/" + it.name + ".log", it.settings,
                       m_descriptors);
        note("start", {{"host", it.name}, {"pid", std::to_string(it.pid)}});
    }

    bool is_ready(std::size_t n) const
    {
        return call(all[n].ready, "GET", "/v1/ready", {}, "", 1'000).status ==
               200;
    }

    bool await_ready(std::size_t n, std::int64_t timeout_ms = 15'000) const
    {
        const std::int64_t until = now_ms() + timeout_ms;
        while (now_ms() < until)
        {
            if (is_ready(n))
            {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    std::size_t add_worker(worker_options given)
    {
        if (given.at.port == 0)
        {
            given.at = {"127.0.0.1", free_port({"127.0.0.1"})};
        }
        given.store_at = store_at;
        workers.push_back({given, -1});
        start_worker(workers.size() - 1);
        return workers.size() - 1;
    }

    void start_worker(std::size_t n)
    {
        const worker_options& it = workers[n].given;
        std::string models;
        for (const std::string& model : it.models)
        {
            models += (models.empty() ? "" : ",") + model;
        }
        workers[n].pid =
            start({m_self, "worker", record_path(), it.at.text(),
                   it.store_at.text(), it.id, it.service, it.version,
                   std::to_string(it.slots), models.empty() ? "-" : models,
                   std::to_string(it.adapter_slots), std::to_string(it.events),
                   std::to_string(it.event_gap_ms), it.is_unframed ? "1" : "0",
                   std::to_string(it.plain_ms), it.has_ids ? "1" : "0"},
                  m_folder + "/" + it.id + ".log", "");
        note("start", {{"worker", it.id},
                       {"pid", std::to_string(workers[n].pid)},
                       {"version", it.version}});
    }

    /// Lets a worker leave as before a planned shutdown.
    void release_worker(std::size_t n)
    {
        note("release", {{"worker", workers[n].given.id}});
        ::kill(workers[n].pid, SIGTERM);
    }

    std::size_t open_descriptors(std::size_t n) const
    {
        std::size_t count = 0;
        const std::string folder =
            "/proc/" + std::to_string(all[n].pid) + "/fd";
        std::error_code ec;
        for (auto it = std::filesystem::directory_iterator(folder, ec);
             !ec && it != std::filesystem::directory_iterator();
             it.increment(ec))
        {
            ++count;
        }
        return count;
    }

    void kill_worker(std::size_t n)
    {
        note("kill", {{"worker", workers[n].given.id}});
        end(workers[n].pid);
        workers[n].pid = -1;
    }

    void kill_host(std::size_t n)
    {
        note("kill", {{"host", all[n].name}});
        end(all[n].pid);
        all[n].pid = -1;
    }

    /// Highest resident memory of a host's process so far, and now, in KB.
    long memory_kb(std::size_t n, const std::string& field) const
    {
        std::ifstream from("/proc/" + std::to_string(all[n].pid) + "/status");
        std::string line;
        while (std::getline(from, line))
        {
            if (line.starts_with(field + ":"))
            {
                return std::atol(line.c_str() + field.size() + 1);
            }
        }
        return -1;
    }

    /// The one tenant of the scripts.
    static json::array desk()
    {
        return {json::object{{"name", "desk"},
                             {"apiKeys", json::array{"key-of-desk"}},
                             {"priority", 1},
                             {"unit", "token_stream"},
                             {"plainTokens", 200},
                             {"ratePerS", 0},
                             {"burst", 0}}};
    }

    static json::object route(const route_options& it)
    {
        return {{"name", it.name},
                {"host", "desk.example"},
                {"pathPrefix", it.prefix},
                {"kind", it.kind},
                {"timeoutMs", it.timeout_ms},
                {"targetLatencyMs", 2'500},
                {"targetGapMs", 400},
                {"priority", 0},
                {"service", it.service},
                {"maxAttempts", it.max_attempts},
                {"public", false},
                {"sessionAffinity", true},
                {"resumable", it.is_resumable}};
    }

    /// Service `models` with an engine, and `app` without.
    void write_configuration(int version,
                             const std::vector<route_options>& routes,
                             const std::vector<std::string>& models,
                             const json::array& tenants = desk())
    {
        json::array all_routes;
        for (const route_options& it : routes)
        {
            all_routes.push_back(route(it));
        }
        json::array specs;
        for (const std::string& it : models)
        {
            specs.push_back({{"name", it},
                             {"weightsSize", 34'300.0},
                             {"loadS", 6.0},
                             {"warmS", 0.28},
                             {"diskS", 0.4},
                             {"adapters", 26},
                             {"adapterMb", 40.0}});
        }
        const json::object engine{
            {"slots", 128},      {"kvCapacity", 232'000},
            {"models", specs},   {"weightsSize", 200'000.0},
            {"adapterSlots", 8}, {"loadsPerS", 3.4}};
        const json::object spec{{"version", version},
                                {"routes", all_routes},
                                {"services",
                                 {{{"name", "models"},
                                   {"healthPath", "/health"},
                                   {"maxConns", 630},
                                   {"protocol", "h1"},
                                   {"tls", false},
                                   {"engine", engine}},
                                  {{"name", "app"},
                                   {"healthPath", "/health"},
                                   {"maxConns", 630},
                                   {"protocol", "h1"},
                                   {"tls", false}}}},
                                {"limits",
                                 {{"maxHeaderBytes", 16'384},
                                  {"maxBodyBytes", 4'194'304},
                                  {"headerTimeoutMs", 3'000},
                                  {"idleTimeoutMs", 15'000}}},
                                {"tenants", tenants}};
        platform->put("config", "main", spec);
        note("config", {{"version", std::to_string(version)}});
    }

    std::vector<host> all;
    std::vector<started_worker> workers;
    /// Never deleted: its threads serve until the process ends.
    store* platform = nullptr;
    address store_at;

    static void end(pid_t pid)
    {
        if (pid > 0)
        {
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }

private:
    pid_t start(const std::vector<std::string>& words, const std::string& log,
                const std::string& settings, int descriptors = 0) const
    {
        std::vector<char*> arguments;
        for (const std::string& it : words)
        {
            arguments.push_back(const_cast<char*>(it.c_str()));
        }
        arguments.push_back(nullptr);
        const std::string variable = "CICADAHUB_SETTINGS=" + settings;
        std::vector<char*> environment;
        const char* path = std::getenv("PATH");
        const std::string path_variable =
            std::string("PATH=") + (path == nullptr ? "" : path);
        environment.push_back(const_cast<char*>(path_variable.c_str()));
        if (!settings.empty())
        {
            environment.push_back(const_cast<char*>(variable.c_str()));
        }
        environment.push_back(nullptr);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        const pid_t pid = fork();
        if (pid == 0)
        {
            // It ends with the script, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(out, 1);
            dup2(out, 2);
            if (descriptors > 0)
            {
                // The platform limits the descriptors of each process.
                const rlimit limit{static_cast<rlim_t>(descriptors),
                                   static_cast<rlim_t>(descriptors)};
                setrlimit(RLIMIT_NOFILE, &limit);
            }
            execve(arguments[0], arguments.data(), environment.data());
            _exit(127);
        }
        close(out);
        return pid;
    }

    std::string m_self;
    std::string m_root;
    std::string m_folder;
    int m_descriptors;
};

/// Fields of a client's request.
inline std::vector<std::pair<std::string, std::string>>
client_fields(const std::string& id, std::int64_t deadline_ms)
{
    return {{"Host", "desk.example"},
            {"Request-Id", id},
            {"Authorization", "Bearer key-of-desk"},
            {"Deadline-Ms", std::to_string(deadline_ms)}};
}

/// Ids of the events in a body, and their texts.
inline std::vector<std::pair<int, std::string>>
events_in(const std::string& body)
{
    std::vector<std::pair<int, std::string>> found;
    std::istringstream from(body);
    std::string line;
    int id = 0;
    while (std::getline(from, line))
    {
        if (line.starts_with("id: "))
        {
            id = std::atoi(line.c_str() + 4);
        }
        else if (line.starts_with("data: "))
        {
            found.emplace_back(id, line.substr(6));
        }
    }
    return found;
}

} // namespace stage
