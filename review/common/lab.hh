// Stand-ins and helpers of the review's scripts: HTTP over blocking sockets, a
// stand-in of the platform's store, worker stand-ins, and processes.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace lab
{

namespace json = boost::json;
using std::string;
using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline const clock::time_point started = clock::now();

inline double seconds_now()
{
    return std::chrono::duration<double>(clock::now() - started).count();
}

/// Thrown if the case can't run, for reasons other than the rule.
struct cannot_run : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// ---- Record ---------------------------------------------------------------

inline std::mutex record_lock;
inline std::ofstream record_file;

inline void record(const string& line)
{
    const std::lock_guard guard(record_lock);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f ", seconds_now());
    record_file << at << line << "\n" << std::flush;
}

// ---- Sockets --------------------------------------------------------------

struct address
{
    string ip;
    int port = 0;
    string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(it.port));
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

inline int listen_on(address& it)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in where = to_sockaddr(it);
    socklen_t size = sizeof where;
    if (bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0 ||
        listen(fd, 512) != 0)
    {
        throw cannot_run("cannot listen on " + it.text());
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
    it.port = ntohs(where.sin_port);
    return fd;
}

inline address free_address(const string& ip)
{
    address it{ip, 0};
    close(listen_on(it));
    return it;
}

/// One channel; reads are buffered.
class channel
{
public:
    explicit channel(int fd) : m_fd(fd) {}
    explicit channel(const address& to)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in where = to_sockaddr(to);
        m_is_open = connect(m_fd, reinterpret_cast<const sockaddr*>(&where),
                            sizeof where) == 0;
        const int one = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~channel() { ::close(m_fd); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    bool is_open() const { return m_is_open; }

    bool send(const string& bytes)
    {
        std::size_t at = 0;
        while (at < bytes.size())
        {
            const ssize_t n = ::send(m_fd, bytes.data() + at, bytes.size() - at,
                                     MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            at += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Receives more bytes into the buffer; false at the end of the channel, at
    /// a reset and after the time limit.
    bool receive(int timeout_ms)
    {
        pollfd wait{m_fd, POLLIN, 0};
        if (poll(&wait, 1, timeout_ms) <= 0)
        {
            m_has_timed_out = true;
            return false;
        }
        char bytes[65536];
        const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        m_buf.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    string& buf() { return m_buf; }
    bool has_timed_out() const { return m_has_timed_out; }

private:
    int m_fd;
    bool m_is_open = true;
    bool m_has_timed_out = false;
    string m_buf;
};

// ---- HTTP -----------------------------------------------------------------

struct message
{
    string first_line;
    std::map<string, string> fields; // names in lower case
    string body;

    string field(const string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? string() : it->second;
    }
    string method() const { return first_line.substr(0, first_line.find(' ')); }
    string target() const
    {
        const auto at = first_line.find(' ') + 1;
        return first_line.substr(at, first_line.find(' ', at) - at);
    }
    int status() const
    {
        return first_line.size() < 12 ? 0 : std::atoi(&first_line[9]);
    }
};

/// Reads a head. False if the channel ended or the time limit passed.
inline bool read_head(channel& from, message& to, int timeout_ms)
{
    std::size_t end = string::npos;
    while ((end = from.buf().find("\r\n\r\n")) == string::npos)
    {
        if (!from.receive(timeout_ms))
        {
            return false;
        }
    }
    std::istringstream lines(from.buf().substr(0, end + 2));
    from.buf().erase(0, end + 4);
    string line;
    std::getline(lines, line);
    to = {};
    to.first_line = line.substr(0, line.find('\r'));
    while (std::getline(lines, line))
    {
        const auto colon = line.find(':');
        string name = line.substr(0, colon);
        for (char& it : name)
        {
            it = static_cast<char>(std::tolower(it));
        }
        const auto first = line.find_first_not_of(' ', colon + 1);
        to.fields[name] = line.substr(first, line.find('\r') - first);
    }
    return true;
}

/// Reads a body with a length or in chunks, up to its whole end.
inline bool read_body(channel& from, message& to, int timeout_ms)
{
    const auto take = [&](std::size_t n)
    {
        while (from.buf().size() < n)
        {
            if (!from.receive(timeout_ms))
            {
                return false;
            }
        }
        return true;
    };
    if (to.field("transfer-encoding") == "chunked")
    {
        while (true)
        {
            std::size_t end = string::npos;
            while ((end = from.buf().find("\r\n")) == string::npos)
            {
                if (!from.receive(timeout_ms))
                {
                    return false;
                }
            }
            const auto size = std::stoul(from.buf(), nullptr, 16);
            if (!take(end + 2 + size + 2))
            {
                return false;
            }
            to.body += from.buf().substr(end + 2, size);
            from.buf().erase(0, end + 2 + size + 2);
            if (size == 0)
            {
                return true;
            }
        }
    }
    const auto length = to.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (!take(size))
    {
        return false;
    }
    to.body = from.buf().substr(0, size);
    from.buf().erase(0, size);
    return true;
}

/// A server with one thread a channel; a handler that returns false ends the
/// channel.
class server
{
public:
    using handler = std::function<bool(channel&, const message&)>;

    server(address at, handler serve) : m_at(std::move(at))
    {
        m_listener = listen_on(m_at);
        std::thread(
            [fd = m_listener, serve]
            {
                while (true)
                {
                    const int it = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                    if (it < 0)
                    {
                        continue;
                    }
                    const int one = 1;
                    setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                    std::thread([it, serve] { run(it, serve); }).detach();
                }
            })
            .detach();
    }

    const address& at() const { return m_at; }

private:
    static void run(int fd, const handler& serve)
    {
        channel it(fd);
        message request;
        constexpr int idle_ms = 120'000;
        while (read_head(it, request, idle_ms) &&
               read_body(it, request, idle_ms) && serve(it, request))
        {
        }
    }

    address m_at;
    int m_listener = -1;
};

inline string answer_text(const string& status, const string& body,
                          const string& fields = {})
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Store ----------------------------------------------------------------

/// Stand-in of the platform's store, as the page on the protocol tells it.
class store
{
public:
    store()
        : m_server({"127.0.0.1", 0}, [this](channel& to, const message& it)
                   { return to.send(answer(it)); })
    {
    }

    const address& at() const { return m_server.at(); }

    void put(const string& kind, const string& name, json::object spec)
    {
        const std::lock_guard guard(m_lock);
        write(kind, name, std::move(spec));
    }

private:
    struct object
    {
        json::object spec;
        std::int64_t revision = 0;
    };

    json::object to_json(const string& name, const object& it) const
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", it.revision},
                  {"created", 1},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", it.spec},
                {"status", json::object()}};
    }

    void write(const string& kind, const string& name, json::object spec)
    {
        m_kinds[kind][name] = {std::move(spec), ++m_revision};
        m_changed.notify_all();
    }

    static string query(const string& target, const string& name)
    {
        const auto at = target.find(name + "=");
        return at == string::npos
                   ? string()
                   : target.substr(at + name.size() + 1,
                                   target.find('&', at) - at - name.size() - 1);
    }

    string answer(const message& request)
    {
        const string era = "Store-Era: 1\r\nContent-Type: application/json\r\n";
        const string target = request.target();
        const string path = target.substr(0, target.find('?'));
        const string prefix = "/v1/objects/";
        if (path.rfind(prefix, 0) != 0)
        {
            return answer_text("404 Not Found", "{}", era);
        }
        const string rest = path.substr(prefix.size());
        const auto slash = rest.find('/');
        const string kind = rest.substr(0, slash);
        const string name =
            slash == string::npos ? string() : rest.substr(slash + 1);
        std::unique_lock guard(m_lock);
        auto& objects = m_kinds[kind];
        if (request.method() == "GET" && !name.empty())
        {
            const auto it = objects.find(name);
            return it == objects.end()
                       ? answer_text("404 Not Found", "{}", era)
                       : answer_text("200 OK",
                                     json::serialize(to_json(name, it->second)),
                                     era);
        }
        const string since = query(target, "watch");
        if (request.method() == "GET" && !since.empty())
        {
            const std::int64_t from = std::stoll(since);
            const auto limit =
                clock::now() +
                std::chrono::milliseconds(std::stoll(query(target, "waitMs")));
            json::array events;
            while (events.empty())
            {
                for (const auto& [id, it] : objects)
                {
                    if (it.revision > from)
                    {
                        events.push_back({{"object", to_json(id, it)},
                                          {"tombstone", false}});
                    }
                }
                if (events.empty() && m_changed.wait_until(guard, limit) ==
                                          std::cv_status::timeout)
                {
                    break;
                }
            }
            return answer_text(
                "200 OK",
                json::serialize(json::object{{"events", std::move(events)},
                                             {"currentRev", m_revision}}),
                era);
        }
        if (request.method() == "GET")
        {
            json::array items;
            for (const auto& [id, it] : objects)
            {
                items.push_back(to_json(id, it));
            }
            return answer_text(
                "200 OK",
                json::serialize(json::object{{"items", std::move(items)},
                                             {"hasMore", false},
                                             {"currentRev", m_revision}}),
                era);
        }
        const json::object body = json::parse(request.body).as_object();
        const json::object& metadata = body.at("metadata").as_object();
        const string id(metadata.at("name").as_string());
        const auto known = objects.find(id);
        const bool is_post = request.method() == "POST";
        if (!is_post && known == objects.end())
        {
            return answer_text("404 Not Found", "{}", era);
        }
        const auto* expected = metadata.if_contains("revision");
        const bool is_conflict =
            is_post
                ? known != objects.end()
                : expected != nullptr && expected->to_number<std::int64_t>() !=
                                             known->second.revision;
        if (is_conflict)
        {
            return answer_text("409 Conflict",
                               json::serialize(to_json(id, known->second)),
                               era);
        }
        write(kind, id, body.at("spec").as_object());
        return answer_text(is_post ? "201 Created" : "200 OK",
                           json::serialize(to_json(id, objects[id])), era);
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::int64_t m_revision = 10;
    std::map<string, std::map<string, object>> m_kinds;
    server m_server;
};

// ---- Processes ------------------------------------------------------------

/// A process that this test started; killed at the end.
class process
{
public:
    process(std::vector<string> command, const string& log,
            const std::vector<string>& environment)
    {
        std::vector<char*> arguments;
        for (string& it : command)
        {
            arguments.push_back(it.data());
        }
        arguments.push_back(nullptr);
        std::vector<char*> variables;
        for (const string& it : environment)
        {
            variables.push_back(const_cast<char*>(it.c_str()));
        }
        variables.push_back(nullptr);
        m_id = fork();
        if (m_id != 0)
        {
            return;
        }
        // Ends with this test, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execve(arguments[0], arguments.data(), variables.data());
        _exit(127);
    }
    ~process() { end(SIGKILL); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void end(int number)
    {
        if (m_id > 0)
        {
            kill(m_id, number);
            waitpid(m_id, nullptr, 0);
            m_id = -1;
        }
    }

    /// Resident memory in kB; 0 if the process does not run.
    std::int64_t memory_kb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
        string line;
        while (std::getline(status, line))
        {
            if (line.rfind("VmRSS:", 0) == 0)
            {
                return std::atoll(&line[6]);
            }
        }
        return 0;
    }

private:
    pid_t m_id = -1;
};

// ---- Entry hosts ----------------------------------------------------------

inline int status_of(const address& to, const string& request)
{
    channel it(to);
    message answer;
    if (!it.is_open() || !it.send(request) || !read_head(it, answer, 1'000))
    {
        return 0;
    }
    return answer.status();
}

/// The entry hosts of one zone, started with the command of the deploy file.
class hosts
{
public:
    hosts(int count, const store& from, const string& folder)
    {
        const int fleet_port = free_address("127.0.0.2").port;
        for (int n = 0; n < count; ++n)
        {
            auto it = std::make_unique<host>();
            const string ip = "127.0.0." + std::to_string(n + 2);
            it->front = free_address(ip);
            it->ready = free_address(ip);
            it->settings = folder + "/front-" + std::to_string(n + 1) + ".toml";
            it->log = folder + "/front-" + std::to_string(n + 1) + ".log";
            std::ofstream(it->settings)
                << "node = \"front-" << n + 1 << "\"\nrole = \"entry\"\n"
                << "machineClass = \"front\"\nserves = [\"front\"]\n"
                << "ip = \"" << ip << "\"\nzone = \"zone-a\"\n"
                << "region = \"region-a\"\nportRange = [" << fleet_port << ","
                << fleet_port + 15 << "]\nseeds = [\"127.0.0.2:9\"]\n"
                << "bootstrap = true\nheartbeatMs = 1200\n[zones]\n"
                << "zone-a = \"region-a\"\n[listen]\nfront = \""
                << it->front.text() << "\"\nready = \"" << it->ready.text()
                << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\n"
                << "memoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n"
                << "diskMb = 0\n[bounds]\ncontactMs = 3000\nackMs = 4000\n"
                << "drainMs = 2000\ngraceS = 8\nconfigApplyMs = 2000\n"
                << "budgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 58\n"
                << "quotaWindowS = 8\nquotaOverage = 0.1\nquotaSlack = 72000\n"
                << "leaseMs = 3000\n[platform]\naddress = \""
                << from.at().text() << "\"\nform = \"objects\"\n";
            m_hosts.push_back(std::move(it));
        }
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            start(n);
        }
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            wait_ready(n);
        }
    }

    void start(std::size_t n)
    {
        host& it = *m_hosts[n];
        it.program = std::make_unique<process>(
            std::vector<string>{"target/services/cicada-entry"}, it.log,
            std::vector<string>{"PATH=/usr/bin:/bin", "HOME=/tmp",
                                "LANG=C.UTF-8",
                                "CICADAHUB_SETTINGS=" + it.settings});
    }

    void wait_ready(std::size_t n)
    {
        for (int left = 200; left > 0; --left)
        {
            if (status_of(m_hosts[n]->ready, "GET /v1/ready HTTP/1.1\r\nHost: "
                                             "ready\r\n\r\n") == 200)
            {
                return;
            }
            sleep_ms(50);
        }
        throw cannot_run("an entry host did not become ready");
    }

    const address& front(std::size_t n) const { return m_hosts[n]->front; }
    process& program(std::size_t n) { return *m_hosts[n]->program; }
    std::size_t size() const { return m_hosts.size(); }

private:
    struct host
    {
        address front;
        address ready;
        string settings;
        string log;
        std::unique_ptr<process> program;
    };

    std::vector<std::unique_ptr<host>> m_hosts;
};

// ---- Desired state and workers --------------------------------------------

inline json::object route(const string& name, const string& kind,
                          const string& service, int timeout_ms)
{
    return {{"name", name},
            {"host", "boats.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", kind},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", kind == "stream" ? 2500 : 150},
            {"targetGapMs", 400},
            {"priority", 0},
            {"service", service},
            {"maxAttempts", kind == "safe" ? 2 : 1},
            {"public", false},
            {"sessionAffinity", false},
            {"resumable", false}};
}

/// A tenant with a rate in requests a second; 0 means no limit.
inline json::object desired_state(json::array routes,
                                  const std::vector<string>& services,
                                  int requests_per_second, int version = 3)
{
    constexpr int tokens_of_request = 1'000;
    json::array list;
    for (const string& it : services)
    {
        list.push_back({{"name", it}, {"maxConns", 630}});
    }
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(list)},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4'194'304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "trust"},
               {"apiKeys", {"key-of-trust"}},
               {"unit", "token_stream"},
               {"plainTokens", tokens_of_request},
               {"ratePerS", requests_per_second * tokens_of_request},
               {"burst", requests_per_second * tokens_of_request}}}}};
}

inline json::object worker_entry(const string& service, const address& at,
                                 int slots)
{
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    return {{"service", service}, {"address", at.text()}, {"zone", "zone-a"},
            {"version", "v1"},    {"slots", slots},       {"state", "ready"},
            {"coldLeftMs", 0},    {"born", born},         {"seq", 1}};
}

/// Fields of a worker's answer to a request.
inline string worker_fields(const string& id, const message& request)
{
    return "Request-Id: " + request.field("request-id") +
           "\r\nInstance-Id: " + id + "\r\nResponse-Seal: seal-of-" + id +
           "\r\n";
}

inline string misdirected(const message& request)
{
    return answer_text(
        "421 Misdirected Request", "",
        "Not-Run: 1\r\nRequest-Id: " + request.field("request-id") + "\r\n");
}

inline bool is_for(const string& id, const message& request)
{
    const string expected = request.field("expect-instance");
    return expected.empty() || expected == id;
}

inline string request_text(const string& method, const string& path,
                           const string& id, int deadline_ms,
                           const string& more = {})
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: boats.example\r\nRequest-Id: " + id +
           "\r\nAuthorization: Bearer key-of-trust\r\nDeadline-Ms: " +
           std::to_string(deadline_ms) + "\r\n" + more + "\r\n";
}

/// True unless the script is run without its disruption.
inline bool has_trouble()
{
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || string(it) != "0";
}

/// Runs a case: exit status 1 if it returns true (the rule was broken), 0 if
/// not, 2 if it can't run. The arguments are the case's folder and a temporary
/// one.
inline int run_case(int argc, char** argv,
                    const std::function<bool(const string& folder)>& run)
{
    if (argc < 3)
    {
        std::fprintf(stderr, "usage: %s CASE_FOLDER TEMPORARY_FOLDER\n",
                     argv[0]);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    record_file.open(string(argv[1]) + "/record.txt");
    record(has_trouble() ? "with the disruption" : "without the disruption");
    int status = 2;
    try
    {
        status = run(argv[2]) ? 1 : 0;
    }
    catch (const std::exception& reason)
    {
        record(string("cannot run: ") + reason.what());
    }
    record("exit status " + std::to_string(status));
    std::fflush(nullptr);
    return status;
}

} // namespace lab
