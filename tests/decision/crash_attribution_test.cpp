#include "decision/suspicion/crash_attribution.hpp"
#include "decision/suspicion/dispatched_requests.hpp"

#include "simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>

namespace cicadahub::suspicion
{
namespace
{

constexpr time_point start{std::chrono::seconds(1'000)};

part_fingerprint part(const std::string& name)
{
    return part_fingerprint(name);
}

/// A crash at `at_ms` with requests that have the parts named, each written as
/// one letter, and were sent `sent_before_ms` before.
server_crash crash(int number, int at_ms,
                   const std::vector<std::string>& requests,
                   int sent_before_ms = 50)
{
    server_crash it;
    it.key = {server_id("s" + std::to_string(number)), 1};
    it.at = start + milliseconds(at_ms);
    for (std::size_t n = 0; n < requests.size(); ++n)
    {
        crashed_request& request = it.requests.emplace_back();
        request.request =
            fingerprint(std::to_string(number) + "-" + std::to_string(n));
        request.sent_at = it.at - milliseconds(sent_before_ms);
        for (const char letter : requests[n])
        {
            request.parts.push_back(part(std::string(1, letter)));
        }
    }
    return it;
}

struct crash_step
{
    int at_ms;
    std::vector<std::string> requests;
    int sent_before_ms = 50;
};

struct answer_step
{
    int began_at_ms;
    std::string parts;
};

struct cause_case
{
    const char* name;
    std::vector<crash_step> crashes;
    std::vector<answer_step> answers;
    /// Letters of the refused parts.
    std::string refused;
};

void PrintTo(const cause_case& it, std::ostream* out)
{
    *out << it.name;
}

class crash_causes : public testing::TestWithParam<cause_case>
{
};

TEST_P(crash_causes, are_found)
{
    const cause_case& it = GetParam();
    crash_attribution subject;
    int number = 0;
    for (const crash_step& step : it.crashes)
    {
        const server_crash seen =
            crash(++number, step.at_ms, step.requests, step.sent_before_ms);
        subject.on_crash(seen, true, seen.at);
    }
    const time_point now = start + seconds(10);
    for (const answer_step& step : it.answers)
    {
        for (const char letter : step.parts)
        {
            subject.on_completed({part(std::string(1, letter))},
                                 start + milliseconds(step.began_at_ms), now);
        }
    }
    std::string refused;
    for (const part_notice& notice : subject.refused(now))
    {
        refused += notice.part.value();
    }
    EXPECT_EQ(refused, it.refused);
}

INSTANTIATE_TEST_SUITE_P(
    crash_attribution, crash_causes,
    testing::Values(
        cause_case{"too_few", {{0, {"AB"}}, {500, {"AB"}}}, {}, ""},
        cause_case{"behind_a_cleared_part",
                   {{0, {"AB"}}, {500, {"AB"}}, {1'000, {"AB"}}},
                   {{1'100, "A"}},
                   "B"},
        // Nothing tells the parts apart; the first one has more to lose.
        cause_case{"deepest_of_equals",
                   {{0, {"AB"}}, {500, {"AB"}}, {1'000, {"AB"}}},
                   {},
                   "B"},
        cause_case{"first_part_with_any_other",
                   {{0, {"AB"}}, {500, {"AC"}}, {1'000, {"AD"}}},
                   {},
                   "A"},
        cause_case{"cleared_by_an_answer",
                   {{0, {"AB"}}, {500, {"AB"}}, {1'000, {"AB"}}},
                   {{1'100, "AB"}},
                   ""},
        cause_case{"answer_began_too_early",
                   {{0, {"AB"}}, {500, {"AB"}}, {1'000, {"AB"}}},
                   {{-10, "AB"}},
                   "B"},
        cause_case{"neighbours_are_explained",
                   {{0, {"AB", "C"}},
                    {500, {"AB", "C"}},
                    {1'000, {"AB", "C"}},
                    {1'500, {"AB"}}},
                   {{1'600, "A"}},
                   "B"},
        cause_case{"many_servers_at_once",
                   {{0, {"A"}}, {1, {"A"}}, {2, {"A"}}, {3, {"A"}}, {4, {"A"}}},
                   {},
                   ""},
        cause_case{"many_requests_at_two_times",
                   {{0, {"A", "A", "A"}}, {900, {"A", "A"}}},
                   {},
                   "A"},
        // Another server ended at that moment, without the part.
        cause_case{
            "beside_other_servers",
            {{0, {"A", "A", "A"}}, {5, {"B"}}, {900, {"A", "A"}}, {905, {"C"}}},
            {},
            ""},
        cause_case{"with_other_servers_at_one_of_three_times",
                   {{0, {"A", "A", "A"}},
                    {5, {"B"}},
                    {900, {"A", "A", "A"}},
                    {1'800, {"A", "A"}}},
                   {},
                   "A"},
        // The requests were all on their way before the first crash.
        cause_case{"one_after_the_other_but_sent_together",
                   {{0, {"A"}, 50}, {100, {"A"}, 150}, {200, {"A"}, 250}},
                   {},
                   ""}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(crash_attribution, counts_repetitions_of_a_request_once)
{
    crash_attribution subject;
    for (int n = 0; n < 5; ++n)
    {
        server_crash it = crash(n, 500 * n, {"A"});
        it.requests.front().request = fingerprint("same");
        subject.on_crash(it, true, it.at);
    }
    EXPECT_FALSE(subject.find_refused({part("A")}, start + seconds(9)));
}

TEST(crash_attribution, counts_reports_of_one_crash_once)
{
    crash_attribution subject;
    for (int n = 0; n < 5; ++n)
    {
        server_crash it = crash(1, 500 * n, {"A"});
        it.requests.front().request = fingerprint(std::to_string(n));
        subject.on_crash(it, n == 0, it.at);
    }
    EXPECT_FALSE(subject.find_refused({part("A")}, start + seconds(9)));
}

TEST(crash_attribution, waits_for_answers_that_may_clear)
{
    crash_attribution subject;
    for (int n = 0; n < 3; ++n)
    {
        const server_crash it = crash(n, 200 * n, {"A"});
        subject.on_crash(it, true, it.at);
    }
    const time_point settled =
        start + milliseconds(400) + crash_attribution::settling_time;
    EXPECT_FALSE(subject.find_refused({part("A")}, settled - milliseconds(1)));
    EXPECT_TRUE(subject.find_refused({part("A")}, settled));
}

TEST(crash_attribution, takes_over_what_others_refuse_until_it_is_cleared)
{
    crash_attribution subject;
    const part_notice refused{part("A"), start, 0};
    EXPECT_TRUE(subject.on_refused(refused, start + seconds(1)));
    EXPECT_TRUE(subject.find_refused({part("A")}, start + seconds(1)));
    EXPECT_TRUE(subject.on_cleared({part("A"), start + milliseconds(10), 0},
                                   start + seconds(2)));
    // A digest that was on its way.
    EXPECT_FALSE(subject.on_refused(refused, start + seconds(2)));
    EXPECT_FALSE(subject.find_refused({part("A")}, start + seconds(2)));
}

TEST(crash_attribution, forgets_after_the_retention_whoever_tells_it)
{
    crash_attribution subject;
    const time_point end = start + crash_attribution::kept_for;
    subject.on_refused({part("A"), start, 0}, start);
    EXPECT_FALSE(subject.on_refused({part("B"), start, 0}, end));
    subject.on_crash(crash(1, 0, {"C"}), true, end);
    EXPECT_FALSE(subject.find_refused({part("A"), part("B")}, end));
    EXPECT_EQ(subject.size(), 0U);
}

TEST(crash_attribution, admits_few_trials)
{
    crash_attribution subject;
    subject.on_refused({part("A"), start, 0}, start);
    int trials = 0;
    for (int n = 0; n < 600'000; n += 100)
    {
        trials +=
            subject.try_admit(part("A"), {}, start + milliseconds(n)) ? 1 : 0;
    }
    EXPECT_EQ(trials, 2);
}

TEST(crash_attribution, is_bounded)
{
    crash_attribution subject;
    for (int n = 0; n < 1'000; ++n)
    {
        const server_crash it = crash(n, n, {"A"});
        subject.on_crash(it, true, it.at);
    }
    EXPECT_LE(subject.size(), crash_attribution::max_crashes);
}

struct run_case
{
    const char* name;
    int hosts;
    /// Requests a second with the part that crashes servers; 0 for none.
    int crashing_per_second;
    /// Servers that crash by themselves, in a second and all at once.
    double random_crashes_per_second;
    int together;
    /// How long sound requests run.
    int shortest_ms = 50;
    int longest_ms = 600;
};

void PrintTo(const run_case& it, std::ostream* out)
{
    *out << it.name;
}

/// Hosts that send requests to servers, and tell each other what they see by
/// messages that are late or lost.
class crash_run
{
public:
    crash_run(std::uint64_t seed, const run_case& it)
        : m_simulation(seed), m_case(it),
          m_hosts(static_cast<std::size_t>(it.hosts)), m_servers(40)
    {
    }

    void step()
    {
        m_now += step_time;
        if (happens(m_case.crashing_per_second))
        {
            send("AX", true);
        }
        if (happens(sound_per_second))
        {
            // Seldom used parts behind one that all requests share.
            const auto letter = m_simulation.pick(0, 5);
            send(std::string("A") + static_cast<char>('a' + letter), false);
        }
        if (happens(m_case.random_crashes_per_second))
        {
            for (int n = 0; n < m_case.together; ++n)
            {
                crash_server(pick(m_servers.size()));
            }
        }
        end_requests();
        if (m_now >= m_next_look)
        {
            m_next_look = m_now + milliseconds(100);
            clear_by_lasting();
        }
        if (m_now >= m_next_digests)
        {
            m_next_digests = m_now + milliseconds(300);
            exchange_digests();
        }
        deliver();
    }

    /// Requests with the crashing part that were sent since a time that hosts
    /// have to learn of it.
    int late_crashing() const { return m_late_crashing; }
    int refused_sound() const { return m_refused_sound; }
    int sound() const { return m_sound; }

private:
    static constexpr milliseconds step_time{10};
    static constexpr int sound_per_second = 60;
    static constexpr milliseconds contact_time{3'000};
    static constexpr milliseconds down_time{2'000};

    struct running_request
    {
        std::size_t host;
        crashed_request request;
        bool is_crashing;
        time_point ends_at;
        time_point answer_begins_at;
    };

    struct server
    {
        std::int64_t incarnation = 1;
        time_point up_at{};
        std::vector<running_request> running;
    };

    struct message
    {
        time_point at;
        std::size_t to;
        std::vector<server_crash> crashes;
        std::vector<part_notice> cleared;
        std::vector<part_notice> refused;
    };

    bool happens(double per_second)
    {
        constexpr double milliseconds_per_second = 1'000;
        return m_simulation.happens(per_second *
                                    static_cast<double>(step_time.count()) /
                                    milliseconds_per_second);
    }

    std::size_t pick(std::size_t n)
    {
        return static_cast<std::size_t>(
            m_simulation.pick(0, static_cast<std::int64_t>(n) - 1));
    }

    void send(const std::string& letters, bool is_crashing)
    {
        running_request it{pick(m_hosts.size()), {}, is_crashing, {}, {}};
        it.request.request = fingerprint(std::to_string(++m_sent));
        for (const char letter : letters)
        {
            it.request.parts.push_back(part(std::string(1, letter)));
        }
        send(std::move(it));
    }

    void send(running_request it)
    {
        const std::size_t host = it.host;
        const bool is_crashing = it.is_crashing;
        const std::size_t at = pick(m_servers.size());
        it.request.sent_at = m_now;
        const bool is_refused =
            m_hosts[host].find_refused(it.request.parts, m_now).has_value();
        m_sound += is_crashing ? 0 : 1;
        m_refused_sound += is_refused && !is_crashing ? 1 : 0;
        if (is_refused || m_now < m_servers[at].up_at)
        {
            return;
        }
        if (is_crashing && m_ended >= 5 && m_now > m_fifth_at + contact_time)
        {
            ++m_late_crashing;
        }
        it.answer_begins_at = m_now + m_simulation.pick_ms(50, 150);
        it.ends_at = is_crashing ? it.answer_begins_at
                                 : it.answer_begins_at +
                                       m_simulation.pick_ms(m_case.shortest_ms,
                                                            m_case.longest_ms);
        m_servers[at].running.push_back(it);
    }

    void end_requests()
    {
        for (std::size_t at = 0; at < m_servers.size(); ++at)
        {
            auto& running = m_servers[at].running;
            for (std::size_t n = 0; n < running.size();)
            {
                if (m_now < running[n].ends_at)
                {
                    ++n;
                    continue;
                }
                if (running[n].is_crashing)
                {
                    if (++m_ended == 5)
                    {
                        m_fifth_at = m_now;
                    }
                    crash_server(at);
                    break;
                }
                complete(running[n]);
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(n));
            }
        }
    }

    void complete(const running_request& it)
    {
        const auto result = m_hosts[it.host].on_completed(
            it.request.parts, it.answer_begins_at, m_now);
        if (result.has_cleared)
        {
            tell_others(it.host);
        }
    }

    void crash_server(std::size_t at)
    {
        server& it = m_servers[at];
        if (m_now < it.up_at)
        {
            return;
        }
        std::set<std::size_t> seen_by;
        const auto running = std::exchange(it.running, {});
        for (const running_request& request : running)
        {
            if (m_now >= request.answer_begins_at + sound_run_time)
            {
                m_hosts[request.host].on_completed(
                    request.request.parts, request.answer_begins_at, m_now);
            }
            server_crash seen;
            seen.key = {server_id(std::to_string(at)), it.incarnation};
            seen.at = m_now;
            const bool has_lasted =
                m_now >= request.answer_begins_at + sound_run_time;
            seen.requests.push_back(has_lasted ? crashed_request()
                                               : request.request);
            m_hosts[request.host].on_crash(seen, true, m_now);
            seen_by.insert(request.host);
        }
        for (const std::size_t host : seen_by)
        {
            tell_others(host);
        }
        ++it.incarnation;
        it.up_at = m_now + down_time;
        for (const running_request& request : running)
        {
            if (!request.is_crashing)
            {
                send(request);
            }
        }
    }

    void clear_by_lasting()
    {
        std::vector<std::map<part_fingerprint, time_point>> lasting(
            m_hosts.size());
        for (const server& at : m_servers)
        {
            for (const running_request& it : at.running)
            {
                if (m_now < it.answer_begins_at + sound_run_time)
                {
                    continue;
                }
                for (const part_fingerprint& id : it.request.parts)
                {
                    time_point& began = lasting[it.host][id];
                    began = std::max(began, it.answer_begins_at);
                }
            }
        }
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            if (m_hosts[n].on_lasting(lasting[n], m_now).has_cleared)
            {
                tell_others(n);
            }
        }
    }

    void exchange_digests()
    {
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            tell_others(n);
        }
    }

    void tell_others(std::size_t from)
    {
        const time_point since = m_now - seconds(3);
        crash_attribution& host = m_hosts[from];
        for (std::size_t to = 0; to < m_hosts.size(); ++to)
        {
            if (to != from && !m_simulation.happens(0.1))
            {
                m_messages.push_back({m_now + m_simulation.pick_ms(1, 60), to,
                                      host.own_crashes_since(since),
                                      host.cleared_since(since),
                                      host.refused(m_now)});
            }
        }
    }

    void deliver()
    {
        std::erase_if(m_messages,
                      [&](const message& it)
                      {
                          if (it.at > m_now)
                          {
                              return false;
                          }
                          crash_attribution& host = m_hosts[it.to];
                          for (const part_notice& cleared : it.cleared)
                          {
                              host.on_cleared(cleared, m_now);
                          }
                          for (const part_notice& refused : it.refused)
                          {
                              host.on_refused(refused, m_now);
                          }
                          for (const server_crash& crash : it.crashes)
                          {
                              host.on_crash(crash, false, m_now);
                          }
                          return true;
                      });
    }

    fakes::simulation m_simulation;
    run_case m_case;
    std::vector<crash_attribution> m_hosts;
    std::vector<server> m_servers;
    std::vector<message> m_messages;
    time_point m_now = start;
    time_point m_next_digests = start;
    time_point m_next_look = start;
    time_point m_fifth_at{};
    int m_sent = 0;
    int m_ended = 0;
    int m_late_crashing = 0;
    int m_sound = 0;
    int m_refused_sound = 0;
};

class crash_runs : public testing::TestWithParam<run_case>
{
};

class long_runs : public testing::TestWithParam<run_case>
{
};

// At most three requests with the part reach servers from a contact time after
// the fifth crash, and requests without it are served.
TEST_P(crash_runs, stop_the_cause_and_nothing_else)
{
    for (std::uint64_t seed = 0; seed < 10; ++seed)
    {
        crash_run run(seed, GetParam());
        for (int n = 0; n < 2'500; ++n)
        {
            run.step();
        }
        EXPECT_LE(run.late_crashing(), 3) << seed;
        EXPECT_LE(run.refused_sound(), run.sound() / 50) << seed;
    }
}

// Guards against long streams that are all refused, since two servers have
// crashed and no answer can be complete before the second counts (review/13).
TEST_P(long_runs, are_not_refused_for_what_they_share)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        crash_run run(seed, GetParam());
        for (int n = 0; n < 4'000; ++n)
        {
            run.step();
        }
        EXPECT_LE(run.late_crashing(), 3) << seed;
        EXPECT_LE(run.refused_sound(), 5 + run.sound() / 500) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    crash_attribution, long_runs,
    testing::Values(
        run_case{"a_crash_each_two_seconds", 9, 0, 0.5, 1, 8'000, 12'000},
        run_case{"a_quarter_each_four_seconds", 9, 0, 0.25, 10, 8'000, 12'000},
        run_case{"a_quarter_each_second", 9, 0, 1, 10, 1'000, 2'000},
        run_case{"beside_a_crashing_part", 9, 4, 0.5, 1, 8'000, 12'000},
        run_case{"beside_a_rare_crashing_part", 9, 1, 0.5, 1, 8'000, 12'000}),
    [](const auto& it) { return std::string(it.param.name); });

INSTANTIATE_TEST_SUITE_P(
    crash_attribution, crash_runs,
    testing::Values(run_case{"eight_a_second", 9, 8, 0, 0},
                    run_case{"one_a_second", 9, 1, 0, 0},
                    run_case{"one_host", 1, 3, 0, 0},
                    run_case{"sixty_hosts", 60, 4, 0, 0},
                    run_case{"beside_random_crashes", 9, 4, 2, 1},
                    run_case{"beside_a_third_at_once", 9, 3, 1, 13},
                    run_case{"random_crashes_only", 9, 0, 8, 1},
                    run_case{"a_third_at_once_only", 9, 0, 1, 13}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a crash that is told to nobody at once, since the server had
// to be probed first and other news went out meanwhile.
TEST(crash_attribution, tells_of_a_crash_that_was_found_out_late)
{
    crash_attribution it;
    const time_point found_out = start + milliseconds(800);
    it.on_crash(crash(1, 0, {"a"}), true, found_out);
    EXPECT_EQ(it.own_crashes_since(found_out - milliseconds(300)).size(), 1U);
    EXPECT_TRUE(it.own_crashes_since(found_out + milliseconds(300)).empty());
}

} // namespace
} // namespace cicadahub::suspicion
