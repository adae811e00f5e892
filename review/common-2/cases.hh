#pragma once

#include "fleet.hh"

#include <memory>

namespace stage
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int cannot_run = 2;

struct case_inputs
{
    std::string self;
    std::string root;
    std::string folder;
    bool has_trouble;
};

inline std::vector<std::pair<std::string, std::string>>
with(std::vector<std::pair<std::string, std::string>> fields,
     const std::vector<std::pair<std::string, std::string>>& more)
{
    fields.insert(fields.end(), more.begin(), more.end());
    return fields;
}

/// ORDER: a server that sends a stream without a length is killed.
inline int run_unframed(const case_inputs& in)
{
    fleet it(in.self, in.root, in.folder, 2);
    it.write_configuration(1, {{"long", "/long/", "stream", "models"}}, {"m1"});
    worker_options given;
    given.service = "models";
    given.models = {"m1"};
    given.is_unframed = true;
    for (const char* id : {"w1", "w2", "w3", "w4"})
    {
        given.id = id;
        it.add_worker(given);
    }
    for (std::size_t n = 0; n < it.all.size(); ++n)
    {
        it.start_host(n);
    }
    if (!it.await_ready(0) || !it.await_ready(1))
    {
        return cannot_run;
    }
    sleep_ms(3'000);
    constexpr int clients = 24;
    std::atomic<int> whole{0};
    std::atomic<int> cut_short{0};
    std::atomic<int> broken_off{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                const std::string id = "stream-" + std::to_string(n);
                const auto seen =
                    call(it.all[static_cast<std::size_t>(n) % 2].front, "POST",
                         "/long/x",
                         with(client_fields(id, 17'000),
                              {{"Model", "m1"},
                               {"Token-Count", "40,40"},
                               {"Prompt-Prefix",
                                "aa:20,b" + std::to_string(n) + ":20"}}),
                         "prompt", 17'000);
                const auto events = events_in(seen.body);
                const int last = events.empty() ? 0 : events.back().first;
                const bool is_all = last == worker_options{}.events;
                note("stream",
                     {{"request", id},
                      {"status", std::to_string(seen.status)},
                      {"last_event", std::to_string(last)},
                      {"ends_as_complete", seen.is_whole ? "yes" : "no"}});
                if (seen.status == 200 && seen.is_whole)
                {
                    ++(is_all ? whole : cut_short);
                }
                else
                {
                    ++broken_off;
                }
            });
    }
    sleep_ms(1'300);
    if (in.has_trouble)
    {
        it.kill_worker(0);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    note("sum", {{"whole", std::to_string(whole)},
                 {"cut_short_but_complete", std::to_string(cut_short)},
                 {"broken_off", std::to_string(broken_off)}});
    if (cut_short > 0)
    {
        return broken;
    }
    return whole + broken_off == clients && whole > 0 ? held : cannot_run;
}

/// LOST: streams are taken up after a route was added for a part of the paths
/// of theirs.
inline int run_added_route(const case_inputs& in)
{
    fleet it(in.self, in.root, in.folder, 3);
    const route_options first{"long", "/long/", "stream", "models"};
    it.write_configuration(1, {first}, {"m1"});
    worker_options given;
    given.service = "models";
    given.models = {"m1"};
    given.events = 40;
    given.event_gap_ms = 300;
    for (const char* id : {"w1", "w2", "w3"})
    {
        given.id = id;
        it.add_worker(given);
    }
    for (std::size_t n = 0; n < it.all.size(); ++n)
    {
        it.start_host(n);
    }
    for (std::size_t n = 0; n < it.all.size(); ++n)
    {
        if (!it.await_ready(n))
        {
            return cannot_run;
        }
    }
    sleep_ms(4'000);
    constexpr int clients = 16;
    std::atomic<int> taken_up{0};
    std::atomic<int> went_on{0};
    std::atomic<int> whole{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                const std::int64_t until = now_ms() + 17'000;
                const std::string first_id = "stream-" + std::to_string(n);
                const std::vector<std::pair<std::string, std::string>> model{
                    {"Model", "m1"},
                    {"Token-Count", "40,40"},
                    {"Prompt-Prefix", "aa:20,b" + std::to_string(n) + ":20"}};
                auto seen = call(it.all[0].front, "POST", "/long/desk/x",
                                 with(client_fields(first_id, 17'000), model),
                                 "prompt", 17'000);
                auto events = events_in(seen.body);
                int last = events.empty() ? 0 : events.back().first;
                note("stream",
                     {{"request", first_id},
                      {"status", std::to_string(seen.status)},
                      {"last_event", std::to_string(last)},
                      {"ends_as_complete", seen.is_whole ? "yes" : "no"}});
                if (seen.is_whole || last == 0)
                {
                    whole += seen.is_whole ? 1 : 0;
                    return;
                }
                ++taken_up;
                bool goes_on = false;
                // A few retries within the time limit, each at another host.
                const auto is_done = [&]
                {
                    return seen.status == 200 && seen.is_whole;
                };
                for (int tries = 1; tries <= 4 && !is_done(); ++tries)
                {
                    const std::int64_t left = until - now_ms();
                    if (left < 500)
                    {
                        break;
                    }
                    const std::string id =
                        first_id + "-" + std::to_string(tries);
                    const std::string after = std::to_string(last);
                    seen = call(
                        it.all[1 + static_cast<std::size_t>(tries + n) % 2]
                            .front,
                        "POST", "/long/desk/x",
                        with(with(client_fields(id, left), model),
                             {{"Last-Event-Id", after}, {"Resumes", first_id}}),
                        "prompt", left);
                    events = events_in(seen.body);
                    note("take_up",
                         {{"request", id},
                          {"resumes", first_id},
                          {"after_event", after},
                          {"status", std::to_string(seen.status)},
                          {"events", std::to_string(events.size())}});
                    if (!events.empty())
                    {
                        goes_on = true;
                        last = events.back().first;
                    }
                    sleep_ms(500);
                }
                went_on += goes_on ? 1 : 0;
            });
    }
    sleep_ms(2'500);
    if (in.has_trouble)
    {
        it.write_configuration(
            2, {first, {"long-desk", "/long/desk/", "stream", "models"}},
            {"m1"});
    }
    sleep_ms(2'500);
    if (in.has_trouble || std::getenv("KILL_ONLY") != nullptr)
    {
        it.kill_host(0);
    }
    std::atomic<int> asked{0};
    std::atomic<int> began{0};
    for (int n = 0; n < clients; ++n)
    {
        sleep_ms(100);
        threads.emplace_back(
            [&, n]
            {
                const std::string id = "new-" + std::to_string(n);
                const auto seen =
                    call(it.all[1 + static_cast<std::size_t>(n) % 2].front,
                         "POST", "/long/desk/x",
                         with(client_fields(id, 17'000),
                              {{"Model", "m1"},
                               {"Token-Count", "40,40"},
                               {"Prompt-Prefix",
                                "aa:20,c" + std::to_string(n) + ":20"}}),
                         "prompt", 17'000);
                ++asked;
                began += events_in(seen.body).empty() ? 0 : 1;
                note("new_stream",
                     {{"request", id},
                      {"status", std::to_string(seen.status)},
                      {"events", std::to_string(events_in(seen.body).size())}});
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    note("sum", {{"taken_up", std::to_string(taken_up)},
                 {"went_on", std::to_string(went_on)},
                 {"whole_at_once", std::to_string(whole)},
                 {"new_streams", std::to_string(asked)},
                 {"began", std::to_string(began)}});
    if (taken_up == 0)
    {
        return whole == clients && began == asked ? held : cannot_run;
    }
    if (taken_up < 12 || asked == 0)
    {
        return cannot_run;
    }
    const double share = static_cast<double>(went_on) / taken_up;
    const double share_of_new = static_cast<double>(began) / asked;
    return share < share_of_new / 2 ? broken : held;
}

/// Fault: clients send heads of legal size with many parts in the prompt.
inline int run_prompt_parts(const case_inputs& in)
{
    constexpr int memory_mb = 120;
    constexpr int descriptors = 3'075;
    constexpr std::size_t hosts = 2;
    constexpr int crowd = 320;
    constexpr int ends_for_fault = 3;
    fleet it(in.self, in.root, in.folder, hosts, memory_mb, descriptors);
    it.write_configuration(1, {{"long", "/long/", "stream", "models"}}, {"m1"});
    worker_options given;
    given.service = "models";
    given.models = {"m1"};
    given.slots = 256;
    given.events = 24;
    given.event_gap_ms = 300;
    for (int n = 0; n < 4; ++n)
    {
        given.id = "w" + std::to_string(n);
        it.add_worker(given);
    }
    for (std::size_t n = 0; n < hosts; ++n)
    {
        it.start_host(n);
    }
    for (std::size_t n = 0; n < hosts; ++n)
    {
        if (!it.await_ready(n))
        {
            return cannot_run;
        }
    }
    sleep_ms(2'000);
    // Each token is a part of its own. The rest of the head has its room below
    // the limit of 16,384 bytes.
    constexpr int parts = 3'800;
    std::string many;
    for (int n = 0; n < parts; ++n)
    {
        many += (n == 0 ? "" : ",");
        many += "0123456789abcdef"[n % 16];
        many += ":1";
    }
    const std::string few = "aa:1800,bb:1000,cc:1000";
    std::atomic<bool> is_over{false};
    std::atomic<int> ordinary_answered{0};
    std::atomic<int> ordinary_lost{0};
    std::vector<std::thread> threads;
    const auto ask =
        [&](std::size_t n, const std::string& id, const std::string& parts)
    {
        return call(it.all[n].front, "POST", "/long/x",
                    with(client_fields(id, 17'000), {{"Model", "m1"},
                                                     {"Token-Count", "3800,40"},
                                                     {"Prompt-Prefix", parts}}),
                    "prompt", 17'000);
    };
    for (std::size_t n = 0; n < hosts; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                for (int k = 0; !is_over; ++k)
                {
                    const std::string id = "ordinary-" + std::to_string(n) +
                                           "-" + std::to_string(k);
                    const auto seen = ask(n, id, few);
                    ++(seen.status == 200 && seen.is_whole ? ordinary_answered
                                                           : ordinary_lost);
                    note("ordinary", {{"request", id},
                                      {"status", std::to_string(seen.status)},
                                      {"whole", seen.is_whole ? "yes" : "no"}});
                    sleep_ms(200);
                }
            });
        for (int client = 0; client < crowd; ++client)
        {
            threads.emplace_back(
                [&, n, client]
                {
                    for (int k = 0; !is_over; ++k)
                    {
                        const std::string id = "crowd-" + std::to_string(n) +
                                               "-" + std::to_string(client) +
                                               "-" + std::to_string(k);
                        ask(n, id, in.has_trouble ? many : few);
                        sleep_ms(1'000);
                    }
                });
        }
    }
    // The platform ends a process that exceeds its memory, and starts it again
    // after a short delay.
    std::vector<int> ends(hosts, 0);
    std::vector<long> most(hosts, 0);
    const std::int64_t until = now_ms() + 70'000;
    while (now_ms() < until &&
           *std::min_element(ends.begin(), ends.end()) < ends_for_fault)
    {
        for (std::size_t n = 0; n < hosts; ++n)
        {
            const long kb = it.memory_kb(n, "VmRSS");
            most[n] = std::max(most[n], kb);
            if (kb > memory_mb * 1'000L)
            {
                ++ends[n];
                note("over_memory", {{"host", it.all[n].name},
                                     {"resident_kb", std::to_string(kb)},
                                     {"limit_mb", std::to_string(memory_mb)}});
                it.kill_host(n);
                sleep_ms(300);
                it.start_host(n);
            }
        }
        sleep_ms(20);
    }
    is_over = true;
    for (std::size_t n = 0; n < hosts; ++n)
    {
        note("host", {{"name", it.all[n].name},
                      {"ends", std::to_string(ends[n])},
                      {"most_resident_kb", std::to_string(most[n])}});
        fleet::end(it.all[n].pid);
        it.all[n].pid = -1;
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    note("sum", {{"ordinary_answered", std::to_string(ordinary_answered)},
                 {"ordinary_lost", std::to_string(ordinary_lost)}});
    return *std::min_element(ends.begin(), ends.end()) >= ends_for_fault
               ? broken
               : held;
}

/// RECOVER: servers are replaced one after the other, for some time.
inline int run_replaced_servers(const case_inputs& in)
{
    constexpr int descriptors = 3'075;
    constexpr int memory_mb = 120;
    constexpr std::size_t ready_servers = 6;
    constexpr int callers = 216;
    constexpr std::int64_t wave_ms = 900;
    constexpr std::int64_t replacing_ms = 75'000;
    constexpr std::int64_t trial_ms = 6'000;
    constexpr int requesters = 8;
    fleet it(in.self, in.root, in.folder, 1, memory_mb, descriptors);
    it.write_configuration(1, {{"read", "/read/", "safe", "app"}}, {"m1"});
    int started = 0;
    const auto add = [&]
    {
        worker_options given;
        given.service = "app";
        given.events = 0;
        given.id = "w" + std::to_string(++started);
        return it.add_worker(given);
    };
    std::vector<std::size_t> ready;
    for (std::size_t n = 0; n < ready_servers; ++n)
    {
        ready.push_back(add());
    }
    it.start_host(0);
    if (!it.await_ready(0))
    {
        return cannot_run;
    }
    sleep_ms(2'000);
    // The platform keeps its channel for the probes of readiness.
    channel probe(connect_to(it.all[0].ready, 1'000));
    const auto is_ready = [&]
    {
        return call_on(probe, "GET", "/v1/ready", {{"Host", "ready"}}, "",
                       1'000)
                   .status == 200;
    };
    std::atomic<bool> is_over{false};
    std::atomic<int> served{0};
    std::atomic<int> unserved{0};
    const std::int64_t first_wave = now_ms() + 500;
    std::vector<std::thread> threads;
    for (int n = 0; n < callers; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                auto kept = std::make_unique<channel>(
                    connect_to(it.all[0].front, 1'000));
                for (int wave = 0; !is_over; ++wave)
                {
                    const std::int64_t at = first_wave + wave * wave_ms;
                    if (now_ms() > at + wave_ms)
                    {
                        continue;
                    }
                    while (now_ms() < at && !is_over)
                    {
                        sleep_ms(std::min<std::int64_t>(50, at - now_ms() + 1));
                    }
                    const auto seen =
                        call_on(*kept, "GET", "/read/x",
                                client_fields("r-" + std::to_string(n) + "-" +
                                                  std::to_string(wave),
                                              2'500),
                                "", 2'500);
                    ++(seen.status == 200 ? served : unserved);
                    if (seen.status == 0)
                    {
                        kept = std::make_unique<channel>(
                            connect_to(it.all[0].front, 1'000));
                    }
                }
            });
    }
    const std::int64_t end = first_wave + replacing_ms;
    int replaced = 0;
    for (int wave = 0; now_ms() < end; ++wave)
    {
        // The quiet part of the wave.
        const std::int64_t at = first_wave + wave * wave_ms + 600;
        sleep_ms(std::max<std::int64_t>(0, at - now_ms()));
        const std::size_t open_now = it.open_descriptors(0);
        if (wave % 5 == 0)
        {
            note("descriptors", {{"open", std::to_string(open_now)},
                                 {"replaced", std::to_string(replaced)},
                                 {"served", std::to_string(served)},
                                 {"unserved", std::to_string(unserved)},
                                 {"ready", is_ready() ? "yes" : "no"}});
        }
        if (open_now + 16 > static_cast<std::size_t>(descriptors))
        {
            break;
        }
        if (!in.has_trouble)
        {
            continue;
        }
        // Two at a time; the new ones start first.
        for (int n = 0; n < 2; ++n)
        {
            ready.push_back(add());
        }
        sleep_ms(100);
        for (int n = 0; n < 2; ++n)
        {
            it.release_worker(ready.front());
            ready.erase(ready.begin());
            ++replaced;
        }
    }
    sleep_ms(4'000);
    // Nothing is replaced any more. New requesters try for twice `contactMs`.
    std::atomic<int> answered{0};
    std::vector<std::thread> trials;
    const std::int64_t until = now_ms() + trial_ms;
    int ready_answers = 0;
    int probes = 0;
    for (int n = 0; n < requesters; ++n)
    {
        trials.emplace_back(
            [&, n]
            {
                for (int k = 0; now_ms() < until; ++k)
                {
                    const std::string id =
                        "new-" + std::to_string(n) + "-" + std::to_string(k);
                    const auto seen = call(it.all[0].front, "GET", "/read/x",
                                           client_fields(id, 1'000), "", 1'000);
                    // Any answer shows that the channel was taken.
                    answered += seen.status != 0 ? 1 : 0;
                    note("new_channel",
                         {{"request", id},
                          {"status", std::to_string(seen.status)}});
                    sleep_ms(200);
                }
            });
    }
    const int served_before = served;
    const int unserved_before = unserved;
    while (now_ms() < until)
    {
        ++probes;
        ready_answers += is_ready() ? 1 : 0;
        sleep_ms(1'000);
    }
    for (auto& thread : trials)
    {
        thread.join();
    }
    int sound = 0;
    for (const std::size_t n : ready)
    {
        sound += call(it.workers[n].given.at, "GET", "/health", {}, "", 1'000)
                             .status == 200
                     ? 1
                     : 0;
    }
    note("sum",
         {{"replaced", std::to_string(replaced)},
          {"open_descriptors", std::to_string(it.open_descriptors(0))},
          {"answers_on_new_channels", std::to_string(answered)},
          {"served_on_kept_channels", std::to_string(served - served_before)},
          {"unserved_on_kept_channels",
           std::to_string(unserved - unserved_before)},
          {"ready",
           std::to_string(ready_answers) + "/" + std::to_string(probes)},
          {"sound_servers",
           std::to_string(sound) + "/" + std::to_string(ready.size())}});
    is_over = true;
    it.kill_host(0);
    for (auto& thread : threads)
    {
        thread.join();
    }
    if (sound < static_cast<int>(ready.size()))
    {
        return cannot_run;
    }
    return answered == 0 && ready_answers == probes ? broken : held;
}

/// ROUTE: the last tenant is taken away.
inline int run_last_tenant(const case_inputs& in)
{
    fleet it(in.self, in.root, in.folder, 2);
    const std::vector<route_options> routes{
        {"post", "/post/", "unsafe", "app", false, 5'000, 1}};
    it.write_configuration(1, routes, {"m1"});
    worker_options given;
    given.service = "app";
    given.events = 0;
    given.plain_ms = 30;
    for (const char* id : {"w1", "w2"})
    {
        given.id = id;
        it.add_worker(given);
    }
    for (std::size_t n = 0; n < it.all.size(); ++n)
    {
        it.start_host(n);
    }
    if (!it.await_ready(0) || !it.await_ready(1))
    {
        return cannot_run;
    }
    sleep_ms(2'000);
    const auto ask =
        [&](std::size_t host, const std::string& id, const std::string& key)
    {
        std::vector<std::pair<std::string, std::string>> fields{
            {"Host", "desk.example"},
            {"Request-Id", id},
            {"Deadline-Ms", "5000"}};
        if (!key.empty())
        {
            fields.emplace_back("Authorization", "Bearer " + key);
        }
        const auto seen = call(it.all[host].front, "POST", "/post/entry",
                               fields, "a ledger entry", 5'000);
        note("request", {{"request", id},
                         {"key", key.empty() ? "none" : key},
                         {"status", std::to_string(seen.status)}});
        return seen.status;
    };
    int served_before = 0;
    for (std::size_t n = 0; n < 2; ++n)
    {
        const std::string host = std::to_string(n);
        served_before += ask(n, "first-" + host, "key-of-desk") == 200 ? 1 : 0;
        ask(n, "first-stranger-" + host, "key-of-nobody");
        ask(n, "first-no-key-" + host, "");
    }
    json::array tenants;
    if (!in.has_trouble)
    {
        // The tenant stays, without a key.
        tenants = fleet::desk();
        tenants[0].as_object()["apiKeys"] = json::array();
    }
    it.write_configuration(2, routes, {"m1"}, tenants);
    // More than `configApplyMs`.
    sleep_ms(4'000);
    int strangers_served = 0;
    for (std::size_t n = 0; n < 2; ++n)
    {
        const std::string host = std::to_string(n);
        const int stranger = ask(n, "then-stranger-" + host, "key-of-nobody");
        const int without = ask(n, "then-no-key-" + host, "");
        const int withdrawn = ask(n, "then-withdrawn-" + host, "key-of-desk");
        strangers_served += (stranger == 200 ? 1 : 0) +
                            (without == 200 ? 1 : 0) +
                            (withdrawn == 200 ? 1 : 0);
    }
    note("sum",
         {{"served_before", std::to_string(served_before)},
          {"served_without_a_key_in_force", std::to_string(strangers_served)}});
    if (served_before != 2)
    {
        return cannot_run;
    }
    return strangers_served > 0 ? broken : held;
}

/// MIXED: a server that answers a request of a safe route with events is
/// killed.
inline int run_safe_events(const case_inputs& in)
{
    fleet it(in.self, in.root, in.folder, 2);
    it.write_configuration(
        1, {{"read", "/read/", "safe", "app", false, 10'000, 2}}, {"m1"});
    worker_options given;
    given.service = "app";
    given.has_ids = false;
    for (const char* id : {"w1", "w2", "w3", "w4"})
    {
        given.id = id;
        it.add_worker(given);
    }
    for (std::size_t n = 0; n < it.all.size(); ++n)
    {
        it.start_host(n);
    }
    if (!it.await_ready(0) || !it.await_ready(1))
    {
        return cannot_run;
    }
    sleep_ms(2'000);
    constexpr int clients = 24;
    std::atomic<int> sound{0};
    std::atomic<int> mixed{0};
    std::atomic<int> broken_off{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                const std::string id = "read-" + std::to_string(n);
                const auto seen =
                    call(it.all[static_cast<std::size_t>(n) % 2].front, "GET",
                         "/read/log", client_fields(id, 10'000), "", 10'000);
                // The pieces of each server's run, in order.
                std::vector<std::pair<std::string, int>> runs;
                for (const auto& [unused, text] : events_in(seen.body))
                {
                    const std::string server = text.substr(0, text.find(' '));
                    if (runs.empty() || runs.back().first != server)
                    {
                        runs.emplace_back(server, 0);
                    }
                    ++runs.back().second;
                }
                std::string pieces;
                for (const auto& [server, count] : runs)
                {
                    pieces += (pieces.empty() ? "" : "+") + server + ":" +
                              std::to_string(count);
                }
                const bool is_success = seen.status == 200 && seen.is_whole;
                const bool is_one_run =
                    runs.size() == 1 &&
                    runs[0].second == worker_options{}.events;
                note("answer",
                     {{"request", id},
                      {"status", std::to_string(seen.status)},
                      {"seal", seen.head.get("Response-Seal")},
                      {"ends_as_complete", seen.is_whole ? "yes" : "no"},
                      {"pieces", pieces}});
                if (!is_success)
                {
                    ++broken_off;
                }
                else
                {
                    ++(is_one_run ? sound : mixed);
                }
            });
    }
    sleep_ms(1'300);
    if (in.has_trouble)
    {
        it.kill_worker(0);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    note("sum", {{"sound", std::to_string(sound)},
                 {"mixed", std::to_string(mixed)},
                 {"broken_off", std::to_string(broken_off)}});
    if (mixed > 0)
    {
        return broken;
    }
    return sound > 0 ? held : cannot_run;
}

/// ORDER: a server of a plain service ends and starts again under its id with
/// the next software version, twice.
inline int run_restarted_version(const case_inputs& in)
{
    constexpr std::size_t hosts = 4;
    constexpr int answer_ms = 4;
    constexpr int slow_answer_ms = 240;
    fleet it(in.self, in.root, in.folder, hosts);
    it.platform->set_delay(answer_ms);
    it.write_configuration(1, {{"long", "/long/", "stream", "app"}}, {"m1"});
    worker_options given;
    given.service = "app";
    given.events = 10;
    for (const char* id : {"w1", "w2", "w3", "w4"})
    {
        given.id = id;
        it.add_worker(given);
    }
    for (std::size_t n = 0; n < hosts; ++n)
    {
        it.start_host(n);
    }
    for (std::size_t n = 0; n < hosts; ++n)
    {
        if (!it.await_ready(n))
        {
            return cannot_run;
        }
    }
    sleep_ms(3'000);
    constexpr int clients = 48;
    std::atomic<bool> is_over{false};
    std::atomic<int> of_one_version{0};
    std::atomic<int> of_two{0};
    std::atomic<int> not_whole{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                sleep_ms(n * 30);
                for (int k = 0; !is_over; ++k)
                {
                    const std::string first_id =
                        "stream-" + std::to_string(n) + "-" + std::to_string(k);
                    const std::int64_t until = now_ms() + 10'000;
                    std::set<std::string> versions;
                    std::string tries_text;
                    int last = 0;
                    bool is_whole = false;
                    for (int tries = 0; tries < 4 && !is_whole; ++tries)
                    {
                        const std::int64_t left = until - now_ms();
                        const std::string id =
                            tries == 0 ? first_id
                                       : first_id + "-" + std::to_string(tries);
                        auto fields = client_fields(id, left);
                        if (last > 0)
                        {
                            fields =
                                with(fields,
                                     {{"Last-Event-Id", std::to_string(last)},
                                      {"Resumes", first_id}});
                        }
                        const auto seen = call(
                            it.all[static_cast<std::size_t>(n + k + tries) %
                                   hosts]
                                .front,
                            "POST", "/long/x", fields, "prompt", left);
                        for (const auto& [event, text] : events_in(seen.body))
                        {
                            last = event;
                            // "SERVER VERSION piece N"
                            const auto from = text.find(' ') + 1;
                            versions.insert(
                                text.substr(from, text.find(' ', from) - from));
                        }
                        is_whole = seen.status == 200 && seen.is_whole;
                        tries_text += (tries_text.empty() ? "" : ",") +
                                      std::to_string(seen.status) + ":" +
                                      std::to_string(last);
                        if (!is_whole)
                        {
                            sleep_ms(100);
                        }
                    }
                    std::string text;
                    for (const std::string& version : versions)
                    {
                        text += (text.empty() ? "" : "+") + version;
                    }
                    note("stream", {{"request", first_id},
                                    {"tries", tries_text},
                                    {"whole", is_whole ? "yes" : "no"},
                                    {"versions", text}});
                    ++(versions.size() > 1
                           ? of_two
                           : (is_whole ? of_one_version : not_whole));
                }
            });
    }
    sleep_ms(4'000);
    // CRASH_ONLY leaves the store as it is, SLOW_ONLY the server.
    const bool is_store_slow =
        in.has_trouble && std::getenv("CRASH_ONLY") == nullptr;
    const std::int64_t slow_until = now_ms() + 4'500;
    if (is_store_slow)
    {
        note("store", {{"answer_ms", std::to_string(slow_answer_ms)}});
        it.platform->set_delay(slow_answer_ms);
    }
    sleep_ms(1'000);
    // The server ends and starts again with the next build, and this one ends
    // soon after its start.
    const bool is_restarted =
        in.has_trouble && std::getenv("SLOW_ONLY") == nullptr;
    for (int n = 0; n < 2 && is_restarted; ++n)
    {
        it.kill_worker(0);
        it.workers[0].given.version = "v2";
        it.start_worker(0);
        sleep_ms(800);
    }
    sleep_ms(std::max<std::int64_t>(0, slow_until - now_ms()));
    it.platform->set_delay(answer_ms);
    note("store", {{"answer_ms", std::to_string(answer_ms)}});
    sleep_ms(4'000);
    is_over = true;
    for (auto& thread : threads)
    {
        thread.join();
    }
    note("sum", {{"of_one_version", std::to_string(of_one_version)},
                 {"of_two_versions", std::to_string(of_two)},
                 {"not_whole", std::to_string(not_whole)}});
    return of_two > 2 ? broken : (of_one_version > 0 ? held : cannot_run);
}

inline int run_named_case(const std::string& name, const case_inputs& in)
{
    if (name == "unframed")
    {
        return run_unframed(in);
    }
    if (name == "added_route")
    {
        return run_added_route(in);
    }
    if (name == "prompt_parts")
    {
        return run_prompt_parts(in);
    }
    if (name == "replaced_servers")
    {
        return run_replaced_servers(in);
    }
    if (name == "last_tenant")
    {
        return run_last_tenant(in);
    }
    if (name == "safe_events")
    {
        return run_safe_events(in);
    }
    if (name == "restarted_version")
    {
        return run_restarted_version(in);
    }
    throw std::runtime_error("no such case: " + name);
}

} // namespace stage
