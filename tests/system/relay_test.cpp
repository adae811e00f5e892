#include "core/refusal.hpp"
#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

using fakes::link_state;

constexpr std::size_t cut_off = 0;
constexpr std::size_t relay = 1;
/// A request for a server that its caller has left must have ended by then.
constexpr milliseconds end_after_leave{500};

std::string last_event()
{
    return "id: 8\n";
}

class relayed_requests : public testing::Test
{
protected:
    explicit relayed_requests(int daemons = 2) : m_fleet(daemons, true)
    {
        for (int n = 1; n < daemons; ++n)
        {
            const std::string peer =
                R"("peer":"entry-)" + std::to_string(n) + '"';
            EXPECT_TRUE(eventually([&] { return has_logged(cut_off, peer); }));
        }
        m_fleet.daemons[cut_off].links->set_state(link_state::reset);
        // The first failure makes the host look.
        m_fleet.plain(cut_off, "first", http::verb::get, "/read/1");
        EXPECT_TRUE(
            eventually([&] { return has_logged(cut_off, "host_cut_off"); }));
    }

    bool has_logged(std::size_t host, const std::string& text) const
    {
        return m_fleet.daemons[host].program->output().find(text) !=
               std::string::npos;
    }

    std::int64_t service_total(const std::string& member) const
    {
        std::int64_t sum = 0;
        for (const auto& it : m_fleet.services)
        {
            sum += read_stat(it.address, member);
        }
        return sum;
    }

    void set_fault_of_all(const std::string& json) const
    {
        for (const auto* group : {&m_fleet.engines, &m_fleet.services})
        {
            for (const auto& it : *group)
            {
                m_fleet.set_fault(it.address, json);
            }
        }
    }

    platform_fleet m_fleet;
};

class relayed_requests_of_three : public relayed_requests
{
protected:
    relayed_requests_of_three() : relayed_requests(3) {}
};

// Guards against a request that runs again, or that is promised not to have
// run, because the answer was lost on the way back over two hosts.
TEST_F(relayed_requests, whose_answer_is_lost_have_an_unknown_outcome)
{
    const std::int64_t before = service_total("runs");
    set_fault_of_all(R"({"lose_answers":1})");
    const answer seen =
        m_fleet.plain(cut_off, "lost", http::verb::post, "/post/1");
    EXPECT_FALSE(promises_not_run(seen.status)) << seen.status;
    EXPECT_NE(seen.status, 200U);
    EXPECT_EQ(service_total("runs"), before + 1);
}

TEST_F(relayed_requests, that_may_be_repeated_are_repeated)
{
    const std::int64_t before = service_total("runs");
    m_fleet.set_fault(m_fleet.services[0].address, R"({"lose_answers":1})");
    for (int n = 0; n < 4; ++n)
    {
        EXPECT_EQ(m_fleet
                      .plain(cut_off, "r" + std::to_string(n), http::verb::get,
                             "/read/1")
                      .status,
                  200U);
    }
    EXPECT_EQ(service_total("runs"), before + 5);
}

TEST_F(relayed_requests, go_on_after_their_last_event)
{
    m_fleet.set_fault(m_fleet.engines[0].address, R"({"break_streams":1})");
    const answer seen = m_fleet.stream(cut_off, "broken", "m1");
    EXPECT_EQ(seen.status, 200U);
    EXPECT_NE(seen.body.find(last_event()), std::string::npos) << seen.body;
    const std::size_t third = seen.body.find("id: 3\n");
    ASSERT_NE(third, std::string::npos);
    EXPECT_EQ(seen.body.find("id: 3\n", third + 1), std::string::npos);
}

TEST_F(relayed_requests, that_must_run_once_end_broken_off)
{
    m_fleet.set_fault(m_fleet.engines[0].address, R"({"break_streams":1})");
    const answer seen =
        m_fleet.stream(cut_off, "broken", "m1", "key-of-trust", "/once/x");
    EXPECT_EQ(seen.status, 0U);
    EXPECT_EQ(m_fleet.engine_total("most_runs_of_one"), 1);
}

TEST_F(relayed_requests, whose_caller_left_end_at_the_server)
{
    m_fleet.set_fault(m_fleet.engines[0].address, R"({"endless":"events"})");
    call(m_fleet.daemons[cut_off].callers, http::verb::post, "/stream/x",
         "prompt",
         {{"Host", "trust.example"},
          {"Request-Id", "left"},
          {"Authorization", "Bearer key-of-trust"},
          {"Model", "m1"},
          {"Token-Count", "20,16"},
          {"Deadline-Ms", "8000"}},
         milliseconds(200));
    EXPECT_TRUE(eventually([&] { return m_fleet.engine_total("running") == 0; },
                           end_after_leave));
}

TEST_F(relayed_requests, carry_the_organisation_and_not_the_key)
{
    EXPECT_EQ(m_fleet.stream(cut_off, "r", "m1").status, 200U);
    EXPECT_EQ(m_fleet.engine_total("keys_seen"), 0);
    EXPECT_TRUE(has_logged(cut_off, "\"relay\":\"entry-1\""));
    const answer stats =
        call(m_fleet.engines[0].address, http::verb::get, "/stats");
    EXPECT_NE(stats.body.find("trust"), std::string::npos) << stats.body;
}

// A caller must not be able to choose a server, or to have a request forwarded
// as that of another organisation.
TEST_F(relayed_requests, ignore_fields_that_a_caller_sets)
{
    const answer seen =
        call(m_fleet.daemons[cut_off].callers, http::verb::get, "/read/1", {},
             {{"Host", "trust.example"},
              {"Request-Id", "forged"},
              {"Authorization", "Bearer key-of-trust"},
              {"Deadline-Ms", "3000"},
              {"Cicadahub-Relay-Server", "e1"},
              {"Cicadahub-Relay-Organisation", "another"}});
    EXPECT_EQ(seen.status, 200U);
    for (const auto& it : m_fleet.services)
    {
        const answer stats = call(it.address, http::verb::get, "/stats");
        EXPECT_EQ(stats.body.find("another"), std::string::npos);
    }
}

TEST_F(relayed_requests, end_when_the_links_are_back)
{
    m_fleet.daemons[cut_off].links->set_state(link_state::open);
    EXPECT_TRUE(eventually([&]
                           { return has_logged(cut_off, "host_reconnected"); },
                           milliseconds(2'000)));
    EXPECT_EQ(m_fleet.stream(cut_off, "direct", "m1").status, 200U);
    EXPECT_TRUE(eventually(
        [&]
        {
            const std::string output =
                m_fleet.daemons[cut_off].program->output();
            const std::size_t line =
                output.find(R"("request":"direct","server")");
            return line != std::string::npos &&
                   output.find(R"("relay":"")", line) != std::string::npos;
        }));
}

struct lost_relay_case
{
    const char* name;
    link_state state;
    /// What the host that forwards requests finds out. Refused by all servers
    /// and told by nobody that any is reached, it is not cut off: they may all
    /// have ended.
    const char* event;
};

void PrintTo(const lost_relay_case& it, std::ostream* out)
{
    *out << it.name;
}

class lost_relays : public relayed_requests,
                    public testing::WithParamInterface<lost_relay_case>
{
};

// Guards against requests that wait for their deadline while nothing can be
// served.
TEST_P(lost_relays, fail_at_once_if_no_host_reaches_the_servers)
{
    m_fleet.daemons[relay].links->set_state(GetParam().state);
    m_fleet.plain(relay, "first", http::verb::get, "/read/1");
    EXPECT_TRUE(
        eventually([&] { return has_logged(relay, GetParam().event); }));
    const time_point sent_at = monotonic_clock::now();
    const answer seen = m_fleet.plain(cut_off, "r", http::verb::get, "/read/1");
    EXPECT_EQ(seen.status, 503U);
    EXPECT_TRUE(seen.is_not_run());
    EXPECT_LT(monotonic_clock::now() - sent_at, seconds(1));
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, lost_relays,
    testing::Values(
        lost_relay_case{"refused", link_state::reset, "servers_refuse"},
        lost_relay_case{"silent", link_state::silent, "host_cut_off"}),
    [](const auto& it) { return std::string(it.param.name); });

/// How a host that forwards requests goes away.
struct departure_case
{
    const char* name;
    int signal;
    /// Requests may fail, with an unknown outcome.
    bool may_fail;
};

void PrintTo(const departure_case& it, std::ostream* out)
{
    *out << it.name;
}

class departures : public relayed_requests_of_three,
                   public testing::WithParamInterface<departure_case>
{
};

// Guards against requests that are cut off, run twice or are given a promise
// when the host that forwards them is stopped or killed.
TEST_P(departures, of_a_relay_break_no_promise)
{
    constexpr std::size_t caller_count = 4;
    std::atomic<bool> is_over = false;
    std::vector<std::map<std::string, unsigned>> seen(caller_count);
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < caller_count; ++caller)
    {
        callers.emplace_back(
            [&, caller]
            {
                for (int n = 0; !is_over; ++n)
                {
                    const std::string id =
                        "c" + std::to_string(caller) + "-" + std::to_string(n);
                    seen[caller][id] =
                        n % 2 == 0 ? m_fleet
                                         .stream(cut_off, id, "m1",
                                                 "key-of-trust", "/once/x")
                                         .status
                                   : m_fleet
                                         .plain(cut_off, id, http::verb::post,
                                                "/post/1")
                                         .status;
                }
            });
    }
    std::this_thread::sleep_for(milliseconds(500));
    m_fleet.daemons[relay].program->signal(GetParam().signal);
    m_fleet.daemons[relay].program->wait();
    std::this_thread::sleep_for(milliseconds(500));
    is_over = true;
    for (std::thread& it : callers)
    {
        it.join();
    }
    auto runs = m_fleet.count_runs();
    std::size_t served = 0;
    for (const auto& part : seen)
    {
        for (const auto& [id, status] : part)
        {
            served += status == 200 ? 1 : 0;
            EXPECT_LE(runs[id], 1) << id;
            EXPECT_FALSE(runs[id] > 0 && promises_not_run(status)) << id;
            EXPECT_TRUE(status == 200 || GetParam().may_fail)
                << id << " " << status;
        }
    }
    EXPECT_GT(served, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, departures,
    testing::Values(departure_case{"stopped", SIGTERM, false},
                    departure_case{"killed", SIGKILL, true}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
