#pragma once

// Stand-in of a worker, as PROTOCOL.md describes it. Runs as a process of its
// own, so that it can be killed, and appends what it runs to the record.

#include "record.hh"

#include <boost/json.hpp>

#include <csignal>
#include <cstdlib>
#include <set>

namespace stage
{

namespace json = boost::json;

struct worker_options
{
    address at;
    address store_at;
    std::string id;
    std::string service;
    std::string version = "v1";
    int slots = 64;
    /// Empty for a plain service.
    std::set<std::string> models;
    int adapter_slots = 8;
    int events = 20;
    int event_gap_ms = 150;
    /// Streams have no length and end with their connection.
    bool is_unframed = false;
    /// Events have ids, and a stream goes on behind `Last-Event-Id`.
    bool has_ids = true;
    /// Time that a plain request takes.
    int plain_ms = 100;
};

/// Set by SIGTERM: the worker reports that it leaves, and ends a while later.
inline std::atomic<bool>& is_leaving()
{
    static std::atomic<bool> it{false};
    return it;
}

class worker
{
public:
    explicit worker(worker_options given)
        : m_given(std::move(given)), m_born(wall_ms())
    {
        for (const std::string& it : m_given.models)
        {
            m_held[it];
        }
    }

    [[noreturn]] void run()
    {
        serve(m_given.at, [this](const message& it, channel& to)
              { return respond(it, to); });
        std::signal(SIGTERM, [](int) { is_leaving() = true; });
        constexpr std::int64_t heartbeat_ms = 1'200;
        constexpr std::int64_t poll_ms = 20;
        while (!is_leaving())
        {
            report();
            const std::int64_t until = now_ms() + heartbeat_ms;
            while (now_ms() < until && !is_leaving())
            {
                sleep_ms(poll_ms);
            }
        }
        // It serves for `drainMs` after the store has accepted the report, and
        // a little longer.
        constexpr std::int64_t drain_ms = 2'300;
        report();
        sleep_ms(drain_ms);
        call(m_given.store_at, "DELETE", "/v1/objects/servers/" + m_given.id,
             {}, "", 1'000);
        std::_Exit(0);
    }

private:
    json::array models_json()
    {
        json::array models;
        for (const auto& [model, adapters] : m_held)
        {
            json::array names;
            for (const auto& [name, it] : adapters)
            {
                names.emplace_back(name);
            }
            models.push_back(
                {{"name", model}, {"version", 1}, {"adapters", names}});
        }
        return models;
    }

    void report()
    {
        json::object spec{{"service", m_given.service},
                          {"address", m_given.at.text()},
                          {"zone", "dc-1"},
                          {"version", m_given.version},
                          {"slots", m_given.slots},
                          {"state", is_leaving() ? "draining" : "ready"},
                          {"coldLeftMs", 0},
                          {"born", m_born},
                          {"seq", ++m_beats}};
        if (!m_given.models.empty())
        {
            const std::lock_guard lock(m_mutex);
            spec["models"] = models_json();
            spec["available"] = {{"inMemory", json::array()},
                                 {"onDisk", json::array()}};
        }
        const std::string body = json::serialize(
            json::object{{"metadata", {{"name", m_given.id}}}, {"spec", spec}});
        const std::string kind = "/v1/objects/servers";
        constexpr std::int64_t timeout_ms = 1'000;
        const answer it = call(m_given.store_at, "PUT", kind + "/" + m_given.id,
                               {}, body, timeout_ms);
        if (it.status == 404)
        {
            call(m_given.store_at, "POST", kind, {}, body, timeout_ms);
        }
    }

    std::vector<std::pair<std::string, std::string>>
    fields_for(const message& it, bool is_run) const
    {
        std::vector<std::pair<std::string, std::string>> fields;
        if (it.has("Request-Id"))
        {
            fields.emplace_back("Request-Id", it.get("Request-Id"));
        }
        fields.emplace_back("Instance-Id", m_given.id);
        fields.emplace_back("Server-Load", std::to_string(m_running) + ",0," +
                                               std::to_string(m_given.slots));
        if (is_leaving())
        {
            fields.emplace_back("Server-Leaving", "1");
            fields.emplace_back("Connection", "close");
        }
        if (is_run)
        {
            fields.emplace_back("Response-Seal", "seal." + m_given.id);
        }
        else
        {
            fields.emplace_back("Not-Run", "1");
        }
        return fields;
    }

    bool reject(const message& it, channel& to, int status) const
    {
        return to.write(answer_text(status, "", fields_for(it, false)));
    }

    bool respond(const message& it, channel& to)
    {
        const std::string path = it.target.substr(0, it.target.find('?'));
        const std::string expected = it.get("Expect-Instance");
        if (!expected.empty() && expected != m_given.id)
        {
            return reject(it, to, 421);
        }
        if (path == "/health")
        {
            return to.write(answer_text(200, "", fields_for(it, true)));
        }
        if (path == "/v1/report")
        {
            const std::lock_guard lock(m_mutex);
            const json::object body{{"stage", "both"},
                                    {"born", m_born},
                                    {"models", models_json()},
                                    {"busy", false},
                                    {"seq", m_orders},
                                    {"numWaiting", 0},
                                    {"numRunning", m_running.load()},
                                    {"kvUsed", 0},
                                    {"kvTotal", 100'000},
                                    {"handles", 0}};
            return to.write(answer_text(200, json::serialize(body)));
        }
        if (path == "/v1/order")
        {
            return obey(it, to);
        }
        return run_request(it, to);
    }

    /// Places that the adapters take, with those whose runs are waited for.
    std::size_t places_taken() const
    {
        std::size_t n = 0;
        for (const auto& [model, adapters] : m_held)
        {
            n += adapters.size();
        }
        return n;
    }

    bool obey(const message& it, channel& to)
    {
        const json::object order = json::parse(it.body).as_object();
        const auto text_of = [&](const char* name)
        {
            const auto* found = order.if_contains(name);
            return found == nullptr ? std::string()
                                    : std::string(found->as_string());
        };
        const std::lock_guard lock(m_mutex);
        const std::string model = text_of("model");
        const std::string adapter = text_of("adapter");
        const bool is_load = text_of("opType") == "load";
        int status = 202;
        if (order.contains("expected") &&
            order.at("expected").to_number<std::int64_t>() != m_orders)
        {
            status = 409;
        }
        else if (adapter.empty() || !m_held.contains(model))
        {
            // These workers have no room for another model.
            status = 400;
        }
        else
        {
            status = obey_for_adapter(model, adapter, is_load);
        }
        note("order", {{"worker", m_given.id},
                       {"type", text_of("opType")},
                       {"adapter", adapter},
                       {"expected", std::to_string(m_orders)},
                       {"answer", std::to_string(status)},
                       {"places_taken", std::to_string(places_taken())}});
        return to.write(answer_text(status, ""));
    }

    int obey_for_adapter(const std::string& model, const std::string& adapter,
                         bool is_load)
    {
        auto& adapters = m_held[model];
        const auto known = adapters.find(adapter);
        if (is_load)
        {
            if (known != adapters.end())
            {
                return 200;
            }
            ++m_orders;
            if (places_taken() >=
                static_cast<std::size_t>(m_given.adapter_slots))
            {
                note("over_adapter_slots",
                     {{"worker", m_given.id}, {"adapter", adapter}});
            }
            adapters[adapter] = {};
            return 202;
        }
        if (known == adapters.end())
        {
            return 200;
        }
        ++m_orders;
        if (known->second.running == 0)
        {
            adapters.erase(known);
            return 200;
        }
        // It waits for its runs.
        known->second.is_going = true;
        return 202;
    }

    bool run_request(const message& it, channel& to)
    {
        std::string model = it.get("Model");
        std::string adapter;
        const auto slash = model.find('/');
        if (slash != std::string::npos)
        {
            adapter = model.substr(slash + 1);
            model.resize(slash);
        }
        {
            const std::lock_guard lock(m_mutex);
            const auto held = m_held.find(model);
            if (!m_given.models.empty() &&
                (held == m_held.end() ||
                 (!adapter.empty() && (!held->second.contains(adapter) ||
                                       held->second.at(adapter).is_going))))
            {
                return reject(it, to, 421);
            }
            if (m_running >= m_given.slots)
            {
                return reject(it, to, 503);
            }
            ++m_running;
            if (!adapter.empty())
            {
                ++held->second[adapter].running;
            }
        }
        const std::string after =
            m_given.has_ids ? it.get("Last-Event-Id") : std::string();
        note("run", {{"worker", m_given.id},
                     {"version", m_given.version},
                     {"request", it.get("Request-Id")},
                     {"after_event", after}});
        const bool keeps =
            m_given.events > 0
                ? stream(it, to, after.empty() ? 0 : std::stoi(after))
                : answer_plain(it, to);
        const std::lock_guard lock(m_mutex);
        --m_running;
        if (!adapter.empty())
        {
            auto& place = m_held[model][adapter];
            if (--place.running == 0 && place.is_going)
            {
                m_held[model].erase(adapter);
            }
        }
        return keeps;
    }

    bool answer_plain(const message& it, channel& to) const
    {
        sleep_ms(m_given.plain_ms);
        return to.write(answer_text(200, "the server's bytes",
                                    fields_for(it, true), "text/plain")) &&
               !is_leaving();
    }

    bool stream(const message& it, channel& to, int after)
    {
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (const auto& [name, value] : fields_for(it, true))
        {
            head += name + ": " + value + "\r\n";
        }
        head += "Content-Type: text/event-stream\r\n";
        head += m_given.is_unframed ? "Connection: close\r\n\r\n"
                                    : "Transfer-Encoding: chunked\r\n\r\n";
        if (!to.write(head))
        {
            return false;
        }
        for (int n = after + 1; n <= m_given.events; ++n)
        {
            sleep_ms(m_given.event_gap_ms);
            std::string event = "data: " + m_given.id + " " + m_given.version +
                                " piece " + std::to_string(n) + "\n\n";
            if (m_given.has_ids)
            {
                event = "id: " + std::to_string(n) + "\n" + event;
            }
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            const std::string bytes =
                m_given.is_unframed ? event : size + event + "\r\n";
            if (to.has_peer_left() || !to.write(bytes))
            {
                return false;
            }
        }
        return !m_given.is_unframed && to.write("0\r\n\r\n");
    }

    struct place
    {
        int running = 0;
        bool is_going = false;
    };

    worker_options m_given;
    std::int64_t m_born;
    std::int64_t m_beats = 0;
    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, place>> m_held;
    std::int64_t m_orders = 0;
    std::atomic<int> m_running{0};
};

} // namespace stage
