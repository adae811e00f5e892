#pragma once

// The platform's metadata store, as PROTOCOL.md describes it.

#include "harness.hpp"

#include <condition_variable>
#include <list>
#include <set>

namespace review
{

/// The text of a member's value in a JSON object, without its quotes if it is a
/// string; empty if it is absent.
inline std::string member_text(const std::string& json, const std::string& name)
{
    int depth = 0;
    std::size_t at = 0;
    const auto skip_string = [&](std::size_t from)
    {
        for (++from; from < json.size() && json[from] != '"'; ++from)
        {
            from += json[from] == '\\' ? 1 : 0;
        }
        return from;
    };
    const auto end_of_value = [&](std::size_t from)
    {
        int inner = 0;
        for (; from < json.size(); ++from)
        {
            const char c = json[from];
            if (c == '"')
            {
                from = skip_string(from);
            }
            else if (c == '{' || c == '[')
            {
                ++inner;
            }
            else if (c == '}' || c == ']')
            {
                if (inner-- == 0)
                {
                    return from;
                }
            }
            else if (c == ',' && inner == 0)
            {
                return from;
            }
        }
        return from;
    };
    for (; at < json.size(); ++at)
    {
        const char c = json[at];
        if (c == '{' || c == '[')
        {
            ++depth;
        }
        else if (c == '}' || c == ']')
        {
            --depth;
        }
        else if (c == '"')
        {
            const std::size_t end = skip_string(at);
            std::size_t colon = json.find_first_not_of(" \t\r\n", end + 1);
            const bool is_name = depth == 1 && colon < json.size() &&
                                 json[colon] == ':' &&
                                 json.compare(at + 1, end - at - 1, name) == 0;
            if (!is_name)
            {
                at = end;
                continue;
            }
            const std::size_t begin =
                json.find_first_not_of(" \t\r\n", colon + 1);
            std::string value = json.substr(begin, end_of_value(begin) - begin);
            value.erase(value.find_last_not_of(" \t\r\n") + 1);
            return value.size() > 1 && value.front() == '"'
                       ? value.substr(1, value.size() - 2)
                       : value;
        }
    }
    return {};
}

/// What the store does with one call.
enum class treatment
{
    answer,
    /// Carried out; the channel ends without an answer.
    lose_answer,
    /// Neither carried out nor answered.
    ignore,
};

class store_server
{
public:
    /// Decides by the client's address, the method and the path.
    using judge = std::function<treatment(const std::string& client,
                                          const std::string& method,
                                          const std::string& path)>;

    explicit store_server(std::int64_t first_revision = 100)
        : m_revision(first_revision)
    {
        m_fd = listen_on(at);
        std::thread([this] { accept_loop(); }).detach();
        std::thread([this] { expire_loop(); }).detach();
    }

    void set_judge(judge it)
    {
        const std::lock_guard lock(m_mutex);
        m_judge = std::move(it);
    }

    void put(const std::string& kind, const std::string& name,
             const std::string& spec)
    {
        const std::lock_guard lock(m_mutex);
        write(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }

    std::string spec_of(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_kinds[kind].find(name);
        return it == m_kinds[kind].end() ? std::string() : it->second.spec;
    }

    address at{"127.0.0.1", 0};

private:
    struct object
    {
        std::string spec;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t written_ms = 0;
    };
    struct change
    {
        std::int64_t revision;
        std::string kind;
        std::string event;
    };

    /// Of three liveness report intervals.
    static constexpr std::int64_t entry_lifetime_ms = 3'600;

    static std::string text_of(const std::string& name, const object& it)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" +
               std::to_string(it.revision) + R"(,"created":)" +
               std::to_string(it.created) +
               R"(,"finalizers":[],"deleting":false},"spec":)" + it.spec +
               R"(,"status":{}})";
    }

    static std::string without_seq(const std::string& spec)
    {
        const auto at = spec.find("\"seq\":");
        return at == std::string::npos
                   ? spec
                   : spec.substr(0, at) +
                         spec.substr(std::min(spec.find_first_of(",}", at),
                                              spec.size()));
    }

    object& write(const std::string& kind, const std::string& name,
                  const std::string& spec)
    {
        auto& known = m_kinds[kind];
        const auto found = known.find(name);
        const bool is_same =
            found != known.end() &&
            (kind == "servers"
                 ? without_seq(found->second.spec) == without_seq(spec)
                 : found->second.spec == spec);
        object& it = known[name];
        it.written_ms = now_ms();
        it.spec = spec;
        if (!is_same)
        {
            it.revision = ++m_revision;
            it.created = it.created == 0 ? it.revision : it.created;
            note(kind, false, name, it);
        }
        return it;
    }

    void erase(const std::string& kind, const std::string& name)
    {
        auto& known = m_kinds[kind];
        const auto found = known.find(name);
        if (found != known.end())
        {
            object it = found->second;
            known.erase(found);
            it.revision = ++m_revision;
            note(kind, true, name, it);
        }
    }

    void note(const std::string& kind, bool is_tombstone,
              const std::string& name, const object& it)
    {
        m_changes.push_back({it.revision, kind,
                             R"({"object":)" + text_of(name, it) +
                                 R"(,"tombstone":)" +
                                 (is_tombstone ? "true" : "false") + "}"});
        m_changed.notify_all();
    }

    void expire_loop()
    {
        while (true)
        {
            sleep_ms(100);
            const std::lock_guard lock(m_mutex);
            std::vector<std::string> silent;
            for (const auto& [name, it] : m_kinds["servers"])
            {
                if (it.written_ms + entry_lifetime_ms < now_ms())
                {
                    silent.push_back(name);
                }
            }
            for (const std::string& it : silent)
            {
                erase("servers", it);
            }
        }
    }

    void accept_loop()
    {
        while (true)
        {
            sockaddr_in from{};
            socklen_t size = sizeof from;
            const int fd = ::accept4(m_fd, reinterpret_cast<sockaddr*>(&from),
                                     &size, SOCK_CLOEXEC);
            if (fd < 0)
            {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            char text[INET_ADDRSTRLEN] = {};
            ::inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
            std::thread([this, fd, client = std::string(text)]
                        { serve(fd, client); })
                .detach();
        }
    }

    void serve(int fd, const std::string& client)
    {
        reader from(fd);
        while (const auto it = from.read(now_ms() + 120'000))
        {
            const auto space = it->first_line.find(' ');
            const std::string method = it->first_line.substr(0, space);
            const std::string target = it->first_line.substr(
                space + 1, it->first_line.rfind(' ') - space - 1);
            treatment how = treatment::answer;
            {
                const std::lock_guard lock(m_mutex);
                how = m_judge ? m_judge(client, method, target)
                              : treatment::answer;
            }
            if (how == treatment::ignore)
            {
                continue;
            }
            sleep_ms(4);
            const auto [status, body] = handle(method, target, it->body);
            if (how == treatment::lose_answer)
            {
                // Nothing follows on this channel.
                sleep_ms(60'000);
                break;
            }
            if (!send_all(fd, "HTTP/1.1 " + std::to_string(status) +
                                  " x\r\nContent-Type: application/json\r\n"
                                  "Content-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" +
                                  body))
            {
                break;
            }
        }
        ::close(fd);
    }

    static std::string query(const std::string& target, const std::string& name)
    {
        const auto mark = target.find('?');
        std::istringstream pairs(
            mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&'))
        {
            if (pair.starts_with(name + "="))
            {
                return pair.substr(name.size() + 1);
            }
        }
        return {};
    }

    std::pair<int, std::string> handle(const std::string& method,
                                       const std::string& target,
                                       const std::string& body)
    {
        const std::string prefix = "/v1/objects/";
        std::string path = target.substr(0, target.find('?'));
        if (!path.starts_with(prefix))
        {
            return {404, "{}"};
        }
        path.erase(0, prefix.size());
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name =
            slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        auto& known = m_kinds[kind];
        if (method == "GET" && name.empty())
        {
            const std::string since = query(target, "watch");
            return since.empty()
                       ? list(kind, query(target, "after"))
                       : watch(lock, kind, std::stoll(since),
                               std::atoi(query(target, "waitMs").c_str()));
        }
        const auto found = known.find(name);
        if (method == "GET")
        {
            return found == known.end()
                       ? std::pair(404, std::string("{}"))
                       : std::pair(200, text_of(name, found->second));
        }
        const std::string metadata = member_text(body, "metadata");
        const std::string spec = member_text(body, "spec");
        if (method == "POST")
        {
            const std::string created = member_text(metadata, "name");
            const auto former = known.find(created);
            if (former != known.end())
            {
                return {409, text_of(created, former->second)};
            }
            return {201, text_of(created, write(kind, created, spec))};
        }
        if (found == known.end())
        {
            return {404, "{}"};
        }
        std::string expected = member_text(metadata, "revision");
        expected = expected.empty() ? query(target, "revision") : expected;
        if (!expected.empty() && std::stoll(expected) != found->second.revision)
        {
            return {409, text_of(name, found->second)};
        }
        if (method == "DELETE")
        {
            erase(kind, name);
            return {200, "{}"};
        }
        return {200, text_of(name, write(kind, name, spec))};
    }

    std::pair<int, std::string> list(const std::string& kind,
                                     const std::string& after)
    {
        std::string items;
        for (const auto& [name, it] : m_kinds[kind])
        {
            if (name > after)
            {
                items += (items.empty() ? "" : ",") + text_of(name, it);
            }
        }
        return {200, R"({"items":[)" + items +
                         R"(],"hasMore":false,"currentRev":)" +
                         std::to_string(m_revision) + "}"};
    }

    std::pair<int, std::string> watch(std::unique_lock<std::mutex>& lock,
                                      const std::string& kind,
                                      std::int64_t since, int wait_ms)
    {
        std::string events;
        const auto collect = [&]
        {
            events.clear();
            for (const change& it : m_changes)
            {
                if (it.kind == kind && it.revision > since)
                {
                    events += (events.empty() ? "" : ",") + it.event;
                }
            }
            return !events.empty();
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
        return {200, R"({"events":[)" + events + R"(],"currentRev":)" +
                         std::to_string(m_revision) + "}"};
    }

    int m_fd = -1;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision;
    std::map<std::string, std::map<std::string, object>> m_kinds;
    std::list<change> m_changes;
    judge m_judge;
};

} // namespace review
