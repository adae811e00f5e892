#include "decision/sharing/brittle_service.hpp"

#include "simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace cicadahub::sharing
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};
const server_id server("s");

struct allowance_case
{
    const char* name;
    std::uint32_t limit;
    host_position host;
    /// Requests that may be sent at once.
    int sends;
};

void PrintTo(const allowance_case& it, std::ostream* out)
{
    *out << it.name;
}

class allowances : public testing::TestWithParam<allowance_case>
{
};

TEST_P(allowances, are_parts_of_the_limit)
{
    const allowance_case& it = GetParam();
    brittle_service subject;
    subject.on_answer(server, it.limit, start);
    for (int n = 0; n < it.sends; ++n)
    {
        EXPECT_TRUE(subject.may_send(server, it.host, start));
        subject.on_sent(server, start);
    }
    EXPECT_FALSE(subject.may_send(server, it.host, start));
    EXPECT_EQ(subject.is_entitled(it.host, start), it.sends > 0);
}

INSTANTIATE_TEST_SUITE_P(
    brittle_service, allowances,
    testing::Values(allowance_case{"alone", 3, {1, 0}, 3},
                    allowance_case{"an_equal_part", 20, {9, 8}, 2},
                    allowance_case{"one_each", 9, {9, 8}, 1},
                    allowance_case{"among_the_first", 3, {9, 2}, 1},
                    allowance_case{"behind_the_first", 3, {9, 3}, 0},
                    allowance_case{"none_bearable", 0, {9, 0}, 1},
                    allowance_case{"none_bearable_behind", 0, {9, 1}, 0},
                    allowance_case{"many_hosts", 5, {420, 4}, 1}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(brittle_service, does_not_limit_servers_that_are_not_brittle)
{
    brittle_service subject;
    for (int n = 0; n < 100; ++n)
    {
        EXPECT_TRUE(subject.may_send(server, {9, 8}, start));
        subject.on_sent(server, start);
    }
}

TEST(brittle_service, an_accepted_request_no_longer_counts)
{
    brittle_service subject;
    subject.on_answer(server, 1, start);
    const auto sent = subject.on_sent(server, start);
    EXPECT_FALSE(subject.may_send(server, {}, start));
    subject.on_accepted(server, sent);
    EXPECT_TRUE(subject.may_send(server, {}, start));
}

TEST(brittle_service, a_rejection_counts_for_its_window)
{
    brittle_service subject;
    subject.on_answer(server, 1, start);
    subject.on_rejected(server, subject.on_sent(server, start), start);
    const time_point later = start + brittle_service::rejection_window;
    EXPECT_FALSE(subject.may_send(server, {}, later));
    EXPECT_TRUE(subject.may_send(server, {}, later + milliseconds(1)));
}

TEST(brittle_service, ends_with_an_answer_that_does_not_say_so)
{
    brittle_service subject;
    subject.on_answer(server, 1, start);
    EXPECT_EQ(subject.limit(start), 1U);
    subject.on_answer(server, std::nullopt, start);
    EXPECT_FALSE(subject.limit(start));
}

// A server that comes back says nothing before its first answer.
TEST(brittle_service, covers_servers_of_the_service_that_said_nothing)
{
    brittle_service subject;
    subject.on_answer(server_id("other"), 1, start);
    subject.on_sent(server, start);
    EXPECT_FALSE(subject.may_send(server, {}, start));
}

TEST(brittle_service, is_forgotten_without_answers)
{
    brittle_service subject;
    subject.on_answer(server, 1, start);
    EXPECT_FALSE(subject.limit(start + brittle_service::notice_lifetime +
                               milliseconds(1)));
}

/// Hosts that send to one server whose room changes at any time. A host knows
/// of the others only how many there are.
class brittle_run
{
public:
    brittle_run(std::uint64_t seed, std::size_t hosts, std::uint32_t limit)
        : m_simulation(seed), m_hosts(hosts), m_limit(limit)
    {
        for (std::size_t n = 0; n < hosts; ++n)
        {
            m_hosts[n].on_answer(server, limit, m_now);
        }
    }

    void step()
    {
        m_now += milliseconds(5);
        if (m_simulation.happens(0.01))
        {
            m_room = static_cast<std::size_t>(m_simulation.pick(0, 12));
        }
        decide_arrived();
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            const host_position position{m_hosts.size(), n};
            if (m_simulation.happens(0.2) &&
                m_hosts[n].may_send(server, position, m_now))
            {
                m_on_way.push_back({n, m_hosts[n].on_sent(server, m_now),
                                    m_now + m_simulation.pick_ms(1, 100)});
            }
        }
        while (!m_rejections.empty() &&
               m_rejections.front() + seconds(1) < m_now)
        {
            m_rejections.pop_front();
        }
        m_most = std::max(m_most, m_rejections.size());
    }

    std::size_t most_rejections() const { return m_most; }
    std::size_t served() const { return m_served; }

private:
    struct arrival
    {
        std::size_t host;
        brittle_service::send_number sent;
        time_point at;
    };

    void decide_arrived()
    {
        std::erase_if(m_running, [&](time_point end) { return end <= m_now; });
        std::erase_if(m_on_way,
                      [&](const arrival& it)
                      {
                          if (it.at > m_now)
                          {
                              return false;
                          }
                          decide(it);
                          return true;
                      });
    }

    void decide(const arrival& it)
    {
        brittle_service& host = m_hosts[it.host];
        host.on_answer(server, m_limit, m_now);
        if (m_running.size() >= m_room)
        {
            m_rejections.push_back(m_now);
            host.on_rejected(server, it.sent, m_now);
            return;
        }
        m_running.push_back(m_now + m_simulation.pick_ms(10, 400));
        ++m_served;
        host.on_accepted(server, it.sent);
    }

    fakes::simulation m_simulation;
    std::vector<brittle_service> m_hosts;
    std::uint32_t m_limit;
    time_point m_now = start;
    std::size_t m_room = 8;
    std::vector<time_point> m_running;
    std::vector<arrival> m_on_way;
    std::deque<time_point> m_rejections;
    std::size_t m_most = 0;
    std::size_t m_served = 0;
};

struct run_case
{
    std::size_t hosts;
    std::uint32_t limit;
};

void PrintTo(const run_case& it, std::ostream* out)
{
    *out << it.hosts << "_hosts_limit_" << it.limit;
}

class brittle_runs : public testing::TestWithParam<run_case>
{
};

// All hosts together never have more requests rejected in a second than the
// server bears, whatever its room.
TEST_P(brittle_runs, keep_the_limit)
{
    for (std::uint64_t seed = 0; seed < 10; ++seed)
    {
        brittle_run run(seed, GetParam().hosts, GetParam().limit);
        for (int n = 0; n < 4'000; ++n)
        {
            run.step();
        }
        EXPECT_LE(run.most_rejections(), GetParam().limit) << seed;
        EXPECT_GT(run.served(), 0U) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(brittle_service, brittle_runs,
                         testing::Values(run_case{1, 3}, run_case{9, 1},
                                         run_case{9, 3}, run_case{9, 9},
                                         run_case{9, 20}, run_case{74, 5}),
                         [](const auto& it)
                         { return testing::PrintToString(it.param); });

} // namespace
} // namespace cicadahub::sharing
