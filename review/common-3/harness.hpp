#pragma once

// Processes, HTTP and records for the scripts of the third review. POSIX only.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using clock = std::chrono::system_clock;

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms)
{
    if (ms > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
}

/// A line of text with the time, in one write, so that several processes can
/// share the file.
class record_file
{
public:
    explicit record_file(const std::string& path)
        : m_fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                      0644))
    {
    }
    void line(const std::string& text) const
    {
        const std::string all = std::to_string(now_ms()) + " " + text + "\n";
        [[maybe_unused]] const auto n = ::write(m_fd, all.data(), all.size());
    }

private:
    int m_fd;
};

struct address
{
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in to_sockaddr(const address& it)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(it.port));
    ::inet_pton(AF_INET, it.host.c_str(), &to.sin_addr);
    return to;
}

/// Listens on the address; port 0 selects a free one. -1 on failure.
inline int listen_on(address& at, int backlog = 256)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in to = to_sockaddr(at);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 ||
        ::listen(fd, backlog) != 0)
    {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof to;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size);
    at.port = ntohs(to.sin_port);
    return fd;
}

inline address free_address(const std::string& host = "127.0.0.1")
{
    address at{host, 0};
    ::close(listen_on(at));
    return at;
}

/// Addresses that differ from each other, and are free once the object has
/// gone.
class reserved_addresses
{
public:
    reserved_addresses() = default;
    ~reserved_addresses()
    {
        for (const int fd : m_fds)
        {
            ::close(fd);
        }
    }
    reserved_addresses(const reserved_addresses&) = delete;
    reserved_addresses& operator=(const reserved_addresses&) = delete;

    address next(const std::string& host)
    {
        address at{host, 0};
        m_fds.push_back(listen_on(at));
        return at;
    }

private:
    std::vector<int> m_fds;
};

inline int connect_to(const address& to, int timeout_ms)
{
    const int fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in at = to_sockaddr(to);
    ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    pollfd it{fd, POLLOUT, 0};
    int ec = 0;
    socklen_t size = sizeof ec;
    if (::poll(&it, 1, timeout_ms) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &size) != 0 || ec != 0)
    {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const auto n =
            ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

using fields = std::map<std::string, std::string>;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// A message as read: its first line, its fields in lower case, its body.
struct message
{
    std::string first_line;
    fields head;
    std::string body;
    bool is_complete = false;
    std::string operator[](const std::string& name) const
    {
        const auto it = head.find(name);
        return it == head.end() ? std::string() : it->second;
    }
    int status() const
    {
        const auto space = first_line.find(' ');
        return space == std::string::npos
                   ? 0
                   : std::atoi(first_line.c_str() + space + 1);
    }
};

/// Reads messages from one connection.
class reader
{
public:
    explicit reader(int fd) : m_fd(fd) {}

    /// Empty if the connection ends, or nothing arrives in time, before the
    /// head is complete.
    std::optional<message> read(std::int64_t until, bool has_body = true)
    {
        message it;
        std::size_t end = 0;
        while ((end = m_buf.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill(until))
            {
                return std::nullopt;
            }
        }
        std::istringstream head(m_buf.substr(0, end + 2));
        m_buf.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        it.first_line = line.substr(0, line.find('\r'));
        while (std::getline(head, line))
        {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
            {
                continue;
            }
            std::string value = line.substr(colon + 1);
            value.erase(0,
                        std::min(value.find_first_not_of(" \t"), value.size()));
            value.erase(value.find_last_not_of(" \t\r") + 1);
            it.head[lower(line.substr(0, colon))] = value;
        }
        it.is_complete = !has_body || read_body(it, until);
        return it;
    }

private:
    bool fill(std::int64_t until)
    {
        const std::int64_t left = until - now_ms();
        pollfd it{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0)
        {
            return false;
        }
        char part[16384];
        const auto n = ::recv(m_fd, part, sizeof part, 0);
        if (n <= 0)
        {
            return false;
        }
        m_buf.append(part, static_cast<std::size_t>(n));
        return true;
    }

    bool read_body(message& it, std::int64_t until)
    {
        if (lower(it["transfer-encoding"]) == "chunked")
        {
            while (true)
            {
                std::size_t end = 0;
                while ((end = m_buf.find("\r\n")) == std::string::npos)
                {
                    if (!fill(until))
                    {
                        return false;
                    }
                }
                const std::size_t size =
                    std::strtoul(m_buf.substr(0, end).c_str(), nullptr, 16);
                while (m_buf.size() < end + 2 + size + 2)
                {
                    if (!fill(until))
                    {
                        it.body += m_buf.substr(end + 2);
                        return false;
                    }
                }
                it.body += m_buf.substr(end + 2, size);
                m_buf.erase(0, end + 2 + size + 2);
                if (size == 0)
                {
                    return true;
                }
            }
        }
        const std::size_t length =
            std::strtoul(it["content-length"].c_str(), nullptr, 10);
        while (m_buf.size() < length)
        {
            if (!fill(until))
            {
                it.body = m_buf;
                return false;
            }
        }
        it.body = m_buf.substr(0, length);
        m_buf.erase(0, length);
        return true;
    }

    int m_fd;
    std::string m_buf;
};

inline std::string request_text(const std::string& method,
                                const std::string& path, const fields& head,
                                const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : head)
    {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// One request on a connection of its own. `status()` is 0 without an answer.
inline message call(const address& to, const std::string& method,
                    const std::string& path, fields head = {},
                    const std::string& body = {}, int timeout_ms = 2000)
{
    const std::int64_t until = now_ms() + timeout_ms;
    const int fd = connect_to(to, std::min(timeout_ms, 1000));
    if (fd < 0)
    {
        return {};
    }
    head.emplace("Host", to.text());
    head.emplace("Connection", "close");
    message it;
    if (send_all(fd, request_text(method, path, head, body)))
    {
        reader from(fd);
        it = from.read(until).value_or(message{});
    }
    ::close(fd);
    return it;
}

/// A program that ends with the object, and with this process.
class child
{
public:
    child(const std::vector<std::string>& command,
          const std::map<std::string, std::string>& environment,
          const std::string& output)
        : m_pid(::fork())
    {
        if (m_pid != 0)
        {
            return;
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd =
            ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        for (const auto& [name, value] : environment)
        {
            ::setenv(name.c_str(), value.c_str(), 1);
        }
        std::vector<char*> words;
        for (const std::string& it : command)
        {
            words.push_back(const_cast<char*>(it.c_str()));
        }
        words.push_back(nullptr);
        ::execv(words[0], words.data());
        ::_exit(127);
    }
    ~child() { kill(); }
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    void signal(int number) const
    {
        if (m_pid > 0)
        {
            ::kill(m_pid, number);
        }
    }
    bool has_ended()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid)
        {
            m_pid = 0;
        }
        return m_pid <= 0;
    }
    bool wait(int timeout_ms)
    {
        const std::int64_t until = now_ms() + timeout_ms;
        while (!has_ended() && now_ms() < until)
        {
            sleep_ms(5);
        }
        return has_ended();
    }
    void kill()
    {
        if (!has_ended())
        {
            signal(SIGKILL);
            ::waitpid(m_pid, &m_status, 0);
            m_pid = 0;
        }
    }
    int status() const { return m_status; }

private:
    pid_t m_pid;
    int m_status = 0;
};

inline bool eventually(int timeout_ms, const std::function<bool()>& is_true)
{
    const std::int64_t until = now_ms() + timeout_ms;
    while (now_ms() < until)
    {
        if (is_true())
        {
            return true;
        }
        sleep_ms(50);
    }
    return is_true();
}

/// Exit codes of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Folder of temporary files that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        m_path = ::mkdtemp(name);
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP") == nullptr)
        {
            const std::string command = "rm -rf '" + m_path + "'";
            [[maybe_unused]] const int n = std::system(command.c_str());
        }
        else
        {
            std::cerr << m_path << "\n";
        }
    }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

/// Entry hosts, each with a loopback address of its own.
class fleet
{
public:
    struct host
    {
        std::string name;
        address front;
        address ready;
        std::string settings;
        std::unique_ptr<child> program;
    };

    fleet(std::string folder, std::size_t count, const address& store)
        : m_folder(std::move(folder)), m_port(free_address().port)
    {
        reserved_addresses reserved;
        for (std::size_t n = 0; n < count; ++n)
        {
            host it;
            it.name = "front-a-" + std::to_string(n + 1);
            const std::string ip = ip_of(n);
            it.front = reserved.next(ip);
            it.ready = reserved.next(ip);
            it.settings = m_folder + "/" + it.name + ".toml";
            write_settings(it, ip, store);
            hosts.push_back(std::move(it));
        }
    }

    static std::string ip_of(std::size_t n)
    {
        // Scripts that run beside each other keep apart.
        constexpr int networks = 200;
        return "127.3." + std::to_string(::getpid() % networks) + "." +
               std::to_string(n + 2);
    }

    /// The host reaches the store at this address from its next start on.
    void set_store(std::size_t n, const address& at)
    {
        write_settings(hosts[n], ip_of(n), at);
    }

    void start(std::size_t n)
    {
        host& it = hosts[n];
        it.program = std::make_unique<child>(
            std::vector<std::string>{"target/services/cicada-entry"},
            std::map<std::string, std::string>{
                {"CICADAHUB_SETTINGS", it.settings}},
            m_folder + "/" + it.name + ".log");
    }

    bool is_ready(std::size_t n) const
    {
        return call(hosts[n].ready, "GET", "/v1/ready").status() == 200;
    }

    void start_all()
    {
        for (std::size_t n = 0; n < hosts.size(); ++n)
        {
            start(n);
        }
    }

    /// Tells why hosts are not ready.
    void print_logs() const
    {
        for (const host& it : hosts)
        {
            const std::string command = "tail -n 2 '" + m_folder + "/" +
                                        it.name + ".log' | cut -c1-300 >&2";
            [[maybe_unused]] const int n = std::system(command.c_str());
        }
    }

    bool are_all_ready(int timeout_ms) const
    {
        return eventually(timeout_ms,
                          [&]
                          {
                              for (std::size_t n = 0; n < hosts.size(); ++n)
                              {
                                  if (!is_ready(n))
                                  {
                                      return false;
                                  }
                              }
                              return true;
                          });
    }

    std::vector<host> hosts;

private:
    void write_settings(const host& it, const std::string& ip,
                        const address& store_at) const
    {
        std::ofstream to(it.settings);
        to << "node = \"" << it.name << "\"\n"
           << "role = \"entry\"\nmachineClass = \"front\"\n"
           << "serves = [\"front\"]\nip = \"" << ip << "\"\n"
           << "zone = \"zone-a\"\nregion = \"region-a\"\n"
           << "portRange = [" << m_port << "," << m_port + 15 << "]\n"
           << "seeds = [\"" << ip_of(0) << ":9\",\"" << ip_of(1) << ":9\"]\n"
           << "bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n"
           << "heartbeatMs = 1200\n"
           << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
              "\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\","
              "\"quota\",\"platform\"]\n"
           << "[zones]\nzone-a = \"region-a\"\n"
           << "[listen]\nfront = \"" << it.front.text() << "\"\nready = \""
           << it.ready.text() << "\"\n"
           << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
           << "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
           << "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
           << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\n"
           << "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
           << "lostSlackMs = 200\nconfigApplyMs = 2000\n"
           << "downgradeSlackMs = 250\nmaxStretchMs = 5000\n"
           << "strictRevoke = false\nrevokeMs = 5000\nbudgetRatio = 0.2\n"
           << "budgetWindowS = 10\nbudgetExtra = 56\nquotaWindowS = 8\n"
           << "quotaOverage = 0.1\nquotaSlack = 110000\nrecoverS = 12\n"
           << "passMs = 120\nretryAfterS = 0\nrequireFence = false\n"
           << "leaseMs = 3000\nthawSlackMs = 300\nceilingWindowS = 5\n"
           << "ceilingFactor = 1.1\n"
           << "[platform]\naddress = \"" << store_at.text()
           << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n"
           << "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    }

    std::string m_folder;
    int m_port;
};

} // namespace review
