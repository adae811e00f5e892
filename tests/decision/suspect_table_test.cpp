#include "decision/suspicion/suspect_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace cicadahub::suspicion
{
namespace
{

const fingerprint request("r");
const time_point start{};

TEST(suspect_table, refuses_after_the_second_crash_counted_by_any_daemon)
{
    suspect_table here({});
    suspect_table there({});
    there.on_notice(request, here.on_crash(request, start), start);
    EXPECT_TRUE(there.is_suspect(request));
    EXPECT_FALSE(there.is_refused(request));
    here.on_notice(request, there.on_crash(request, start), start);
    EXPECT_TRUE(here.is_refused(request));
    EXPECT_TRUE(there.is_refused(request));
}

TEST(suspect_table, clears_a_request_that_completed)
{
    suspect_table it({});
    it.on_crash(request, start);
    it.on_completed(request);
    EXPECT_FALSE(it.is_suspect(request));
    EXPECT_EQ(it.on_crash(request, start), 1u);
}

struct reported_crash
{
    const char* server;
    milliseconds at;
    milliseconds sent_before;
};

struct counting_case
{
    const char* name;
    std::vector<reported_crash> crashes;
    std::uint32_t counted;
};

void PrintTo(const counting_case& it, std::ostream* out)
{
    *out << it.name;
}

class counted_crashes : public testing::TestWithParam<counting_case>
{
};

// Guards against hosts that have seen one crash each and believe in one, and
// against sound requests that are refused after one cause ended many servers.
TEST_P(counted_crashes, are_merged_by_server_and_cause)
{
    suspect_table it({});
    std::uint32_t counted = 0;
    for (const reported_crash& crash : GetParam().crashes)
    {
        const time_point at = start + crash.at;
        counted = it.on_crash(
            request, {{server_id(crash.server), 1}, at, at - crash.sent_before},
            false, at);
    }
    EXPECT_EQ(counted, GetParam().counted);
}

INSTANTIATE_TEST_SUITE_P(
    suspect_table, counted_crashes,
    testing::Values(
        counting_case{"one_told_by_three_hosts",
                      {{"a", milliseconds(5'000), milliseconds(80)},
                       {"a", milliseconds(5'020), milliseconds(100)},
                       {"a", milliseconds(6'200), milliseconds(90)}},
                      1},
        counting_case{"three_seen_by_a_host_each",
                      {{"a", milliseconds(5'000), milliseconds(80)},
                       {"b", milliseconds(5'250), milliseconds(80)},
                       {"c", milliseconds(5'500), milliseconds(80)}},
                      3},
        counting_case{"of_one_cause",
                      {{"a", milliseconds(5'000), milliseconds(300)},
                       {"b", milliseconds(5'010), milliseconds(200)},
                       {"c", milliseconds(5'100), milliseconds(400)}},
                      1},
        counting_case{"of_two_causes",
                      {{"a", milliseconds(5'000), milliseconds(300)},
                       {"b", milliseconds(5'010), milliseconds(200)},
                       {"c", milliseconds(6'500), milliseconds(1'700)},
                       {"d", milliseconds(6'510), milliseconds(200)}},
                      2},
        counting_case{"slow_servers_that_began_together",
                      {{"a", milliseconds(5'000), milliseconds(2'000)},
                       {"b", milliseconds(6'100), milliseconds(3'000)},
                       {"c", milliseconds(7'200), milliseconds(4'000)}},
                      3},
        counting_case{"told_out_of_order",
                      {{"c", milliseconds(5'500), milliseconds(80)},
                       {"a", milliseconds(5'000), milliseconds(80)},
                       {"b", milliseconds(5'250), milliseconds(80)}},
                      3}),
    [](const auto& it) { return std::string(it.param.name); });

suspicion_limits three_crashes()
{
    return {3, milliseconds(600'000), 10'000};
}

request_crash crash_of(const std::string& server, time_point at)
{
    return {{server_id(server), 1}, at, at - milliseconds(50)};
}

/// A request that crashed three servers, seen by this host.
void crash_three(suspect_table& it)
{
    for (int n = 0; n < 3; ++n)
    {
        const time_point at = start + seconds(n);
        it.on_crash(request, crash_of(std::to_string(n), at), true, at);
    }
}

// Guards against hosts that start after the crashes and send the request again.
TEST(suspect_table, tells_what_it_refuses_for_as_long_as_it_does)
{
    suspect_table here(three_crashes());
    suspect_table started(three_crashes());
    crash_three(here);
    const time_point last = start + seconds(2);
    const time_point later = last + seconds(300);
    EXPECT_TRUE(here.notices(later, false, later).empty());
    for (const request_notice& it : here.notices(later, true, later))
    {
        EXPECT_EQ(it.at, last);
        EXPECT_TRUE(started.on_notice(it, later));
        EXPECT_FALSE(started.on_notice(it, later));
    }
    EXPECT_TRUE(started.is_refused(request));
    const time_point end = last + three_crashes().kept_for;
    EXPECT_TRUE(started.notices(end, true, end).empty());
    // Any entry is kept for no longer than it counts.
    started.on_crash(fingerprint("other"), end);
    EXPECT_FALSE(started.is_suspect(request));
}

TEST(suspect_table, tells_the_requests_with_most_crashes_first)
{
    suspect_table it(three_crashes());
    for (int n = 0; n < 100; ++n)
    {
        it.on_crash(fingerprint(std::to_string(n)), crash_of("s", start), true,
                    start);
    }
    crash_three(it);
    EXPECT_EQ(it.notices(start, false, start).front().request, request);
}

/// A request that was at each of the servers 0, 1, 2... for some time when they
/// crashed.
struct neighbour
{
    const char* request;
    std::vector<milliseconds> times_at_servers;
};

struct explained_case
{
    const char* name;
    std::vector<neighbour> requests;
    std::set<std::string> refused;
};

void PrintTo(const explained_case& it, std::ostream* out)
{
    *out << it.name;
}

class explained_crashes : public testing::TestWithParam<explained_case>
{
};

// Guards against sound requests that are refused since they ran beside the one
// that crashed their servers (review/14).
TEST_P(explained_crashes, count_against_the_request_that_had_just_begun)
{
    // Whoever reports first.
    for (const bool is_reversed : {false, true})
    {
        suspect_table it(three_crashes());
        auto requests = GetParam().requests;
        if (is_reversed)
        {
            std::reverse(requests.begin(), requests.end());
        }
        for (const neighbour& from : requests)
        {
            for (std::size_t n = 0; n < from.times_at_servers.size(); ++n)
            {
                const time_point at = start + seconds(100 + 2 * n);
                it.on_crash(fingerprint(from.request),
                            {{server_id(std::to_string(n)), 1},
                             at,
                             at - from.times_at_servers[n]},
                            true, at);
            }
        }
        std::set<std::string> refused;
        const time_point now = start + seconds(120);
        for (const request_notice& notice : it.refused(now))
        {
            refused.insert(notice.request.value());
        }
        EXPECT_EQ(refused, GetParam().refused);
        // Another host refuses no more by what it is told.
        suspect_table there(three_crashes());
        for (const request_notice& notice : it.notices(start, true, now))
        {
            there.on_notice(notice, now);
        }
        for (const neighbour& from : requests)
        {
            EXPECT_EQ(there.is_refused(fingerprint(from.request)),
                      refused.contains(from.request));
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    suspect_table, explained_crashes,
    testing::Values(
        explained_case{
            "beside_older_ones",
            {{"bad", {milliseconds(40), milliseconds(30), milliseconds(35)}},
             {"a", {milliseconds(500), milliseconds(450), milliseconds(480)}},
             {"b", {milliseconds(900), milliseconds(300), milliseconds(470)}}},
            {"bad"}},
        explained_case{
            "once_as_new_as_the_cause",
            {{"bad", {milliseconds(40), milliseconds(30), milliseconds(35)}},
             {"a", {milliseconds(35), milliseconds(450), milliseconds(480)}}},
            {"bad"}},
        explained_case{
            "waiting_at_slow_servers",
            {{"bad",
              {milliseconds(800), milliseconds(1'200), milliseconds(700)}},
             {"a", {milliseconds(90), milliseconds(100)}}},
            {"bad"}},
        explained_case{
            "always_sent_together",
            {{"bad", {milliseconds(40), milliseconds(30), milliseconds(35)}},
             {"twin", {milliseconds(45), milliseconds(40), milliseconds(30)}}},
            {"bad", "twin"}},
        explained_case{
            "crashes_beyond_those_explained",
            {{"bad", {milliseconds(40), milliseconds(30), milliseconds(35)}},
             {"worse",
              {milliseconds(500), milliseconds(400), milliseconds(600),
               milliseconds(600), milliseconds(500), milliseconds(700)}}},
            {"bad", "worse"}}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a refusal that is taken over although all crashes are known,
// and explained.
TEST(suspect_table, believes_the_crashes_rather_than_their_number)
{
    suspect_table it(three_crashes());
    for (int n = 0; n < 3; ++n)
    {
        const time_point at = start + seconds(100 + n);
        const crash_key key{server_id(std::to_string(n)), 1};
        it.on_crash(fingerprint("bad"), {key, at, at - milliseconds(30)}, false,
                    at);
        it.on_crash(request, {key, at, at - milliseconds(900)}, false, at);
    }
    it.on_notice({request, 3, start + seconds(102), 0}, start + seconds(102));
    EXPECT_FALSE(it.is_refused(request));
    // One more than is known here.
    it.on_notice({request, 4, start + seconds(102), 0}, start + seconds(102));
    EXPECT_TRUE(it.is_refused(request));
}

// Guards against a host that starts and does not learn of the request that has
// crashed servers, since many others have one crash each.
TEST(suspect_table, tells_a_host_that_starts_of_the_most_crashes_first)
{
    suspect_table it(three_crashes());
    it.on_crash(request, crash_of("a", start), true, start);
    it.on_crash(request, crash_of("b", start + seconds(2)), false,
                start + seconds(2));
    const time_point later = start + seconds(9);
    for (int n = 0; n < 100; ++n)
    {
        it.on_crash(fingerprint(std::to_string(n)), crash_of("c", later), true,
                    later);
    }
    suspect_table started(three_crashes());
    const auto known = it.known_crashes(10, later);
    EXPECT_EQ(known.size(), 10U);
    for (const auto& crash : known)
    {
        started.on_crash(crash.request, crash.crash, false, later);
    }
    const time_point third = later + seconds(2);
    EXPECT_EQ(started.on_crash(request, crash_of("d", third), true, third), 3U);
    EXPECT_TRUE(it.known_crashes(10, later + three_crashes().kept_for).empty());
}

struct trial_case
{
    const char* name;
    std::uint32_t trials_elsewhere;
    milliseconds delay;
    int admitted;
};

void PrintTo(const trial_case& it, std::ostream* out)
{
    *out << it.name;
}

class refused_requests : public testing::TestWithParam<trial_case>
{
};

// Guards against a sound request that is refused for ever, and against trials
// that crash more servers than the rule allows.
TEST_P(refused_requests, are_tried_a_few_times)
{
    suspect_table it(three_crashes());
    crash_three(it);
    const time_point last = start + seconds(2);
    it.on_notice({request, 3, last, GetParam().trials_elsewhere}, last);
    int admitted = 0;
    for (time_point now = last; now < last + seconds(500);
         now += milliseconds(100))
    {
        const bool is_tried = it.try_admit(request, GetParam().delay, now);
        EXPECT_FALSE(is_tried && now < last + suspect_table::first_trial_after +
                                           GetParam().delay);
        admitted += is_tried ? 1 : 0;
    }
    EXPECT_EQ(admitted, GetParam().admitted);
    EXPECT_FALSE(it.try_admit(fingerprint("unknown"), {}, last + seconds(9)));
    for (const request_notice& notice : it.notices(start, true, last))
    {
        EXPECT_EQ(notice.trials, 2U);
    }
}

INSTANTIATE_TEST_SUITE_P(
    suspect_table, refused_requests,
    testing::Values(trial_case{"by_the_first_host", 0, milliseconds(0), 2},
                    trial_case{"by_a_later_host", 0, milliseconds(900), 2},
                    trial_case{"tried_elsewhere", 1, milliseconds(0), 1},
                    trial_case{"tried_twice_elsewhere", 2, milliseconds(0), 0}),
    [](const auto& it) { return std::string(it.param.name); });

struct clearing_case
{
    const char* name;
    /// The answer began so long after the second of two crashes.
    milliseconds answer_began;
    std::uint32_t cleared;
    std::uint32_t after_third_crash;
    bool is_told;
};

void PrintTo(const clearing_case& it, std::ostream* out)
{
    *out << it.name;
}

class clearing_answers : public testing::TestWithParam<clearing_case>
{
};

// Guards against an answer that takes back crashes behind it.
TEST_P(clearing_answers, clear_of_the_crashes_before_them)
{
    suspect_table here(three_crashes());
    suspect_table there(three_crashes());
    const time_point second = start + seconds(2);
    for (suspect_table* it : {&here, &there})
    {
        it->on_crash(request, crash_of("a", start), true, start);
        it->on_crash(request, crash_of("b", second), true, second);
    }
    const time_point now = second + seconds(9);
    EXPECT_EQ(here.on_completed(request, second + GetParam().answer_began, now),
              GetParam().cleared);
    std::size_t told = 0;
    for (const request_notice& it : here.notices(now, false, now))
    {
        there.on_notice(it, now);
        told += it.crashes == 0 ? 1 : 0;
    }
    EXPECT_EQ(told > 0, GetParam().is_told);
    for (suspect_table* it : {&here, &there})
    {
        // A late report of a crash that no longer counts, and a new crash.
        it->on_crash(request, crash_of("a", start), false, now);
        EXPECT_EQ(it->on_crash(request, crash_of("c", now), true, now),
                  GetParam().after_third_crash);
    }
}

INSTANTIATE_TEST_SUITE_P(
    suspect_table, clearing_answers,
    testing::Values(
        clearing_case{"behind_both", milliseconds(500), 2, 1, true},
        clearing_case{"between_them", milliseconds(-500), 1, 2, true},
        clearing_case{"before_both", milliseconds(-2'500), 0, 3, false}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(suspect_table, runs_one_suspect_at_a_time_on_a_server)
{
    suspect_table it({});
    EXPECT_TRUE(it.try_isolate(server_id("s")));
    EXPECT_FALSE(it.try_isolate(server_id("s")));
    it.end_isolation(server_id("s"));
    EXPECT_TRUE(it.try_isolate(server_id("s")));
}

TEST(suspect_table, is_bounded)
{
    suspicion_limits limits;
    limits.entries = 10;
    suspect_table it(limits);
    for (int n = 0; n < 100; ++n)
    {
        it.on_crash(fingerprint(std::to_string(n)), start + milliseconds(n));
    }
    EXPECT_LE(it.size(), 10u);
    EXPECT_TRUE(it.is_suspect(fingerprint("99")));
}

} // namespace
} // namespace cicadahub::suspicion
