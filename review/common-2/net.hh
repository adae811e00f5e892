#pragma once

// Blocking HTTP/1.1 over loopback sockets, for the stand-ins and the clients of
// the review's scripts. One thread a connection.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace stage
{

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               clock_type::now().time_since_epoch())
        .count();
}

inline std::int64_t wall_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t n)
{
    std::this_thread::sleep_for(milliseconds(n));
}

struct address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in raw() const
    {
        sockaddr_in it{};
        it.sin_family = AF_INET;
        it.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
        return it;
    }
};

inline address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

/// A port that is free for TCP and UDP on all of these loopback addresses.
inline int free_port(const std::vector<std::string>& ips)
{
    std::random_device random;
    for (int tries = 0; tries < 500; ++tries)
    {
        const int port = 20'000 + static_cast<int>(random() % 12'000);
        bool is_free = true;
        for (const std::string& ip : ips)
        {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM})
            {
                const int fd = socket(AF_INET, type, 0);
                const sockaddr_in to = address{ip, port}.raw();
                is_free =
                    is_free && bind(fd, reinterpret_cast<const sockaddr*>(&to),
                                    sizeof to) == 0;
                close(fd);
            }
        }
        if (is_free)
        {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

struct message
{
    /// Method and target, or the status.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string get(std::string_view name) const
    {
        for (const auto& [key, value] : fields)
        {
            if (key.size() == name.size() &&
                strncasecmp(key.data(), name.data(), name.size()) == 0)
            {
                return value;
            }
        }
        return {};
    }
    bool has(std::string_view name) const
    {
        return std::any_of(fields.begin(), fields.end(),
                           [&](const auto& it)
                           {
                               return it.first.size() == name.size() &&
                                      strncasecmp(it.first.data(), name.data(),
                                                  name.size()) == 0;
                           });
    }
};

/// An open connection with what was read and not yet used.
class channel
{
public:
    explicit channel(int fd) : m_fd(fd) {}
    ~channel() { end(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    void end()
    {
        if (m_fd >= 0)
        {
            close(m_fd);
            m_fd = -1;
        }
    }
    /// Ends it with a reset.
    void reset()
    {
        const linger it{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &it, sizeof it);
        end();
    }
    bool has_peer_left() const
    {
        pollfd it{m_fd, POLLRDHUP, 0};
        return poll(&it, 1, 0) > 0;
    }
    bool write(std::string_view bytes) const
    {
        while (!bytes.empty())
        {
            const ssize_t n =
                ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    /// False at the end of the connection, or at `until`.
    bool fill(std::int64_t until)
    {
        const std::int64_t left = std::max<std::int64_t>(0, until - now_ms());
        pollfd it{m_fd, POLLIN, 0};
        if (poll(&it, 1, static_cast<int>(left)) <= 0)
        {
            m_has_timed_out = true;
            return false;
        }
        char bytes[16384];
        const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            m_was_reset = n < 0;
            return false;
        }
        buf.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    std::optional<std::string> line(std::int64_t until)
    {
        std::size_t at = 0;
        while ((at = buf.find("\r\n")) == std::string::npos)
        {
            if (!fill(until))
            {
                return std::nullopt;
            }
        }
        std::string it = buf.substr(0, at);
        buf.erase(0, at + 2);
        return it;
    }
    bool has_timed_out() const { return m_has_timed_out; }
    bool was_reset() const { return m_was_reset; }
    int descriptor() const { return m_fd; }

    std::string buf;

private:
    int m_fd;
    bool m_has_timed_out = false;
    bool m_was_reset = false;
};

inline std::optional<message> read_head(channel& from, bool is_answer,
                                        std::int64_t until)
{
    const auto first = from.line(until);
    if (!first)
    {
        return std::nullopt;
    }
    message it;
    if (is_answer)
    {
        it.status =
            std::atoi(first->c_str() + std::min<std::size_t>(9, first->size()));
    }
    else
    {
        const auto space = first->find(' ');
        it.method = first->substr(0, space);
        it.target = first->substr(space + 1, first->rfind(' ') - space - 1);
    }
    while (const auto next = from.line(until))
    {
        if (next->empty())
        {
            return it;
        }
        const auto colon = next->find(':');
        auto value = next->substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        it.fields.emplace_back(next->substr(0, colon), value);
    }
    return std::nullopt;
}

/// Reads a body, in pieces; `false` if it is not whole.
inline bool read_body(channel& from, const message& head, bool is_answer,
                      std::int64_t until,
                      const std::function<void(std::string_view)>& on_bytes)
{
    if (strcasecmp(head.get("Transfer-Encoding").c_str(), "chunked") == 0)
    {
        while (true)
        {
            const auto size_line = from.line(until);
            if (!size_line)
            {
                return false;
            }
            const std::size_t size =
                std::strtoul(size_line->c_str(), nullptr, 16);
            while (from.buf.size() < size + 2)
            {
                if (!from.fill(until))
                {
                    return false;
                }
            }
            if (size == 0)
            {
                from.buf.erase(0, 2);
                return true;
            }
            on_bytes(std::string_view(from.buf).substr(0, size));
            from.buf.erase(0, size + 2);
        }
    }
    if (head.has("Content-Length"))
    {
        std::size_t left = std::stoul(head.get("Content-Length"));
        while (left > 0)
        {
            if (from.buf.empty() && !from.fill(until))
            {
                return false;
            }
            const std::size_t n = std::min(left, from.buf.size());
            on_bytes(std::string_view(from.buf).substr(0, n));
            from.buf.erase(0, n);
            left -= n;
        }
        return true;
    }
    if (!is_answer)
    {
        return true;
    }
    do
    {
        on_bytes(from.buf);
        from.buf.clear();
    } while (from.fill(until));
    return !from.has_timed_out() && !from.was_reset();
}

inline int listen_at(const address& at)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in to = at.raw();
    if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
        listen(fd, 1'024) != 0)
    {
        throw std::runtime_error("cannot listen on " + at.text() + ": " +
                                 std::strerror(errno));
    }
    return fd;
}

/// Serves each connection on a thread; the handler returns false to close.
inline void serve(const address& at,
                  const std::function<bool(const message&, channel&)>& handler)
{
    const int listener = listen_at(at);
    std::thread(
        [listener, handler]
        {
            while (true)
            {
                const int fd =
                    accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                {
                    sleep_ms(10);
                    continue;
                }
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread(
                    [fd, handler]
                    {
                        channel it(fd);
                        constexpr std::int64_t idle_ms = 60'000;
                        while (true)
                        {
                            auto head =
                                read_head(it, false, now_ms() + idle_ms);
                            if (!head)
                            {
                                return;
                            }
                            const bool is_whole =
                                read_body(it, *head, false, now_ms() + idle_ms,
                                          [&](std::string_view bytes)
                                          { head->body += bytes; });
                            if (!is_whole || !handler(*head, it))
                            {
                                return;
                            }
                        }
                    })
                    .detach();
            }
        })
        .detach();
}

inline std::string
answer_text(int status, const std::string& body,
            const std::vector<std::pair<std::string, std::string>>& fields = {},
            const std::string& type = "application/json")
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : fields)
    {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty())
    {
        text += "Content-Type: " + type + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline int connect_to(const address& to, std::int64_t timeout_ms)
{
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in raw = to.raw();
    int result =
        connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
    if (result != 0 && errno == EINPROGRESS)
    {
        pollfd it{fd, POLLOUT, 0};
        int failure = 0;
        socklen_t size = sizeof failure;
        if (poll(&it, 1, static_cast<int>(timeout_ms)) > 0 &&
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size) == 0)
        {
            result = failure == 0 ? 0 : -1;
        }
    }
    if (result != 0)
    {
        close(fd);
        return -1;
    }
    // Blocking from here on; all reads poll first.
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    int mode = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, mode & ~O_NONBLOCK);
    return fd;
}

/// What a client saw of one attempt.
struct answer
{
    /// 0 if there was none.
    int status = 0;
    message head;
    std::string body;
    /// The body ended as complete.
    bool is_whole = false;
    bool was_sent = false;
};

/// Sends a request on an open channel and reads its answer.
inline answer
call_on(channel& server, const std::string& method, const std::string& target,
        const std::vector<std::pair<std::string, std::string>>& fields,
        const std::string& body, std::int64_t timeout_ms)
{
    answer it;
    const std::int64_t until = now_ms() + timeout_ms;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields)
    {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST" || method == "PUT")
    {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    it.was_sent = server.write(text);
    auto head = read_head(server, true, until);
    if (!head)
    {
        return it;
    }
    it.head = *head;
    it.status = head->status;
    it.is_whole = read_body(server, *head, true, until,
                            [&](std::string_view bytes) { it.body += bytes; });
    return it;
}

inline answer
call(const address& to, const std::string& method, const std::string& target,
     const std::vector<std::pair<std::string, std::string>>& fields,
     const std::string& body, std::int64_t timeout_ms,
     const std::function<void(std::string_view)>& on_bytes = {})
{
    answer it;
    const std::int64_t until = now_ms() + timeout_ms;
    const int fd = connect_to(to, std::min<std::int64_t>(timeout_ms, 1'000));
    if (fd < 0)
    {
        return it;
    }
    channel server(fd);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields)
    {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST" || method == "PUT")
    {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    it.was_sent = server.write(text);
    auto head = read_head(server, true, until);
    if (!head)
    {
        return it;
    }
    it.head = *head;
    it.status = head->status;
    it.is_whole = read_body(server, *head, true, until,
                            [&](std::string_view bytes)
                            {
                                it.body += bytes;
                                if (on_bytes)
                                {
                                    on_bytes(bytes);
                                }
                            });
    return it;
}

} // namespace stage
