#include "decision/reachability/server_reach.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <set>

namespace cicadahub::reachability
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};
constexpr std::size_t targets = 5;

server_reach cut_off_at(time_point now)
{
    server_reach it;
    it.on_failure();
    it.on_probe_began(now);
    it.on_probe_ended(probe_result::silent, targets, now);
    return it;
}

struct verdict_case
{
    const char* name;
    probe_result result;
    std::size_t targets;
    bool is_cut_off;
};

void PrintTo(const verdict_case& it, std::ostream* out)
{
    *out << it.name;
}

class verdicts : public testing::TestWithParam<verdict_case>
{
};

TEST_P(verdicts, follow_from_the_probe)
{
    const verdict_case& it = GetParam();
    server_reach reach;
    reach.on_failure();
    EXPECT_TRUE(reach.is_probe_due(start));
    reach.on_probe_began(start);
    EXPECT_FALSE(reach.is_probe_due(start));
    EXPECT_EQ(reach.on_probe_ended(it.result, it.targets, start),
              it.is_cut_off);
    EXPECT_EQ(reach.is_cut_off(), it.is_cut_off);
}

INSTANTIATE_TEST_SUITE_P(
    server_reach, verdicts,
    testing::Values(
        verdict_case{"all_are_silent", probe_result::silent, targets, true},
        verdict_case{"one_connects", probe_result::reached, targets, false},
        verdict_case{"the_only_server_fails", probe_result::silent, 1, false},
        verdict_case{"no_server_is_known", probe_result::silent, 0, false}),
    [](const auto& it) { return std::string(it.param.name); });

struct refusal_case
{
    const char* name;
    /// Bytes from a server reached another host this long after the first
    /// refusal.
    std::optional<milliseconds> contact_elsewhere;
    probe_result second;
    std::size_t targets;
    bool is_cut_off;
    bool asks_others;
};

void PrintTo(const refusal_case& it, std::ostream* out)
{
    *out << it.name;
}

class refused_probes : public testing::TestWithParam<refusal_case>
{
};

// Guards against hosts that take themselves for cut off, and count no crash,
// because all servers have ended.
TEST_P(refused_probes, are_a_cut_only_if_others_reach_servers)
{
    const refusal_case& it = GetParam();
    server_reach reach;
    reach.on_failure();
    reach.on_probe_began(start);
    EXPECT_EQ(reach.on_probe_ended(probe_result::refused, it.targets, start),
              it.targets > 1);
    EXPECT_FALSE(reach.is_cut_off());
    EXPECT_EQ(reach.awaits_answers(start), it.targets > 1);
    EXPECT_FALSE(reach.awaits_answers(start + server_reach::inquiry_time));
    if (it.contact_elsewhere)
    {
        reach.on_contact_elsewhere(start + *it.contact_elsewhere);
    }
    const time_point later = start + server_reach::return_probe_period;
    EXPECT_EQ(reach.is_probe_due(later), it.targets > 1);
    reach.on_probe_began(later);
    reach.on_probe_ended(it.second, it.targets, later);
    EXPECT_EQ(reach.is_cut_off(), it.is_cut_off);
    EXPECT_EQ(reach.asks_others(), it.asks_others);
}

INSTANTIATE_TEST_SUITE_P(
    server_reach, refused_probes,
    testing::Values(refusal_case{"nobody_reaches_any",
                                 {},
                                 probe_result::refused,
                                 targets,
                                 false,
                                 true},
                    refusal_case{"another_host_reaches_one", milliseconds(200),
                                 probe_result::refused, targets, true, false},
                    refusal_case{"another_host_reached_one_before",
                                 milliseconds(-10), probe_result::refused,
                                 targets, false, true},
                    refusal_case{"bytes_from_before_the_end", milliseconds(50),
                                 probe_result::refused, targets, false, true},
                    refusal_case{"one_has_started_again", milliseconds(200),
                                 probe_result::reached, targets, false, false},
                    refusal_case{"nothing_answers_any_more",
                                 {},
                                 probe_result::silent,
                                 targets,
                                 true,
                                 false},
                    refusal_case{"the_only_server_refuses", milliseconds(200),
                                 probe_result::refused, 1, false, false},
                    refusal_case{"no_server_is_left", milliseconds(200),
                                 probe_result::refused, 0, false, false}),
    [](const auto& it) { return std::string(it.param.name); });

// Hosts whose open connections live on while new ones are refused serve nothing
// new over those.
TEST(server_reach, bytes_on_open_connections_do_not_end_a_cut)
{
    server_reach reach = cut_off_at(start);
    reach.on_contact(start + milliseconds(10));
    EXPECT_TRUE(reach.is_cut_off());
}

TEST(server_reach, a_cut_ends_with_the_first_connection)
{
    server_reach reach = cut_off_at(start);
    const time_point later = start + server_reach::return_probe_period;
    EXPECT_FALSE(reach.is_probe_due(later - milliseconds(1)));
    EXPECT_TRUE(reach.is_probe_due(later));
    reach.on_probe_began(later);
    EXPECT_TRUE(reach.on_probe_ended(probe_result::reached, targets, later));
    EXPECT_FALSE(reach.is_cut_off());
}

TEST(server_reach, failures_during_a_cut_cause_no_more_probes)
{
    server_reach reach = cut_off_at(start);
    reach.on_failure();
    EXPECT_FALSE(reach.is_probe_due(start + milliseconds(1)));
}

TEST(server_reach, silence_is_probed_only_while_requests_wait)
{
    server_reach reach;
    const time_point silent = start + server_reach::silence_limit;
    EXPECT_FALSE(reach.is_probe_due(silent));
    reach.on_wait_began(start);
    EXPECT_FALSE(reach.is_probe_due(silent - milliseconds(1)));
    EXPECT_TRUE(reach.is_probe_due(silent));
    reach.on_contact(silent);
    EXPECT_FALSE(reach.is_probe_due(silent));
    reach.on_wait_ended();
    EXPECT_FALSE(reach.is_probe_due(silent + seconds(10)));
}

// A server that is slow to answer costs few probes.
TEST(server_reach, silence_is_probed_once_a_period)
{
    server_reach reach;
    reach.on_wait_began(start);
    int probes = 0;
    for (time_point now = start; now < start + seconds(10);
         now += milliseconds(10))
    {
        if (reach.is_probe_due(now))
        {
            ++probes;
            reach.on_probe_began(now);
            reach.on_probe_ended(probe_result::reached, targets, now);
        }
    }
    EXPECT_LE(probes, 10);
    EXPECT_FALSE(reach.is_cut_off());
}

// One service that is down must not look like a host that is cut off.
TEST(probe_targets, cover_all_services)
{
    constexpr int engines = 60;
    std::vector<probe_target> servers;
    servers.reserve(engines + 1);
    for (int n = 0; n < engines; ++n)
    {
        servers.push_back(
            {server_id("e" + std::to_string(n)), service_id("engines")});
    }
    servers.push_back({server_id("l"), service_id("ledger")});
    for (std::uint64_t seed = 0; seed < 50; ++seed)
    {
        const auto chosen = choose_targets(servers, targets, seed);
        EXPECT_EQ(chosen.size(), targets);
        EXPECT_EQ(std::set<std::size_t>(chosen.begin(), chosen.end()).size(),
                  targets);
        EXPECT_TRUE(std::any_of(chosen.begin(), chosen.end(),
                                [&](std::size_t it)
                                { return servers[it].server.value() == "l"; }));
    }
}

TEST(probe_targets, are_all_servers_if_there_are_few)
{
    const std::vector<probe_target> servers{{server_id("a"), service_id("s")},
                                            {server_id("b"), service_id("s")}};
    EXPECT_EQ(choose_targets(servers, targets, 1).size(), 2U);
    EXPECT_TRUE(choose_targets({}, targets, 1).empty());
}

/// Hosts and servers of a run: links are cut and healed, servers go down and
/// come back, at random.
class reach_run
{
public:
    explicit reach_run(std::uint64_t seed) : m_random(seed) {}

    void step()
    {
        m_now += milliseconds(50);
        if (happens(0.02))
        {
            m_is_link_cut = !m_is_link_cut;
            m_does_link_refuse = happens(0.5);
            m_link_changed = m_now;
        }
        for (bool& is_down : m_is_down)
        {
            if (happens(0.02))
            {
                is_down = !is_down;
                m_server_changed = m_now;
            }
        }
        if (happens(0.3))
        {
            use_any_server();
        }
        if (m_probe_ends && m_now >= *m_probe_ends)
        {
            m_probe_ends.reset();
            m_reach.on_probe_ended(m_probe_result, m_is_down.size(), m_now);
        }
        if (m_reach.is_probe_due(m_now))
        {
            m_reach.on_probe_began(m_now);
            m_probe_result = probe();
            m_probe_ends =
                m_now +
                milliseconds(m_probe_result == probe_result::silent ? 400 : 0);
        }
        // Another host has sound links.
        if (m_reach.asks_others() && is_any_up())
        {
            m_reach.on_contact_elsewhere(m_now);
        }
    }

    /// After a change a failure or a period must pass, and a probe.
    bool is_settled() const
    {
        return m_now > std::max(m_link_changed, m_server_changed) + seconds(2);
    }

    bool is_any_up() const
    {
        return !std::all_of(m_is_down.begin(), m_is_down.end(),
                            [](bool it) { return it; });
    }

    bool is_reachable() const { return !m_is_link_cut && is_any_up(); }
    /// Nothing tells a link that refuses connections from servers that do.
    bool is_cut_shown() const
    {
        return m_is_link_cut && (!m_does_link_refuse || is_any_up());
    }
    bool has_used_since_change() const
    {
        return m_last_failure > std::max(m_link_changed, m_server_changed);
    }
    const server_reach& reach() const { return m_reach; }

private:
    bool happens(double share)
    {
        return std::uniform_real_distribution<>()(m_random) < share;
    }

    probe_result probe() const
    {
        if (is_reachable())
        {
            return probe_result::reached;
        }
        return m_is_link_cut && !m_does_link_refuse ? probe_result::silent
                                                    : probe_result::refused;
    }

    void use_any_server()
    {
        if (m_is_link_cut || m_is_down[m_random() % m_is_down.size()])
        {
            m_reach.on_failure();
            m_last_failure = m_now;
            return;
        }
        m_reach.on_contact(m_now);
    }

    std::mt19937_64 m_random;
    time_point m_now = start;
    bool m_is_link_cut = false;
    bool m_does_link_refuse = false;
    std::array<bool, 4> m_is_down{};
    time_point m_link_changed = start;
    time_point m_server_changed = start;
    time_point m_last_failure = start;
    std::optional<time_point> m_probe_ends;
    probe_result m_probe_result = probe_result::reached;
    server_reach m_reach;
};

class reach_runs : public testing::TestWithParam<std::uint64_t>
{
};

// Once nothing has changed for two seconds, a host that can open a connection
// to any server is not taken for cut off, and one whose link is cut is, as soon
// as a request has failed.
TEST_P(reach_runs, end_with_the_truth)
{
    reach_run run(GetParam());
    std::size_t settled = 0;
    for (int n = 0; n < 20'000; ++n)
    {
        run.step();
        if (!run.is_settled())
        {
            continue;
        }
        ++settled;
        if (run.is_reachable())
        {
            EXPECT_FALSE(run.reach().is_cut_off());
        }
        else if (run.is_cut_shown() && run.has_used_since_change())
        {
            EXPECT_TRUE(run.reach().is_cut_off() || run.reach().is_probing());
        }
    }
    EXPECT_GT(settled, 100U);
}

INSTANTIATE_TEST_SUITE_P(server_reach, reach_runs,
                         testing::Range<std::uint64_t>(0, 50));

} // namespace
} // namespace cicadahub::reachability
