#include "decision/sharing/host_rate.hpp"
#include "decision/sharing/lag_detector.hpp"
#include "decision/sharing/retry_budget.hpp"
#include "decision/sharing/server_health.hpp"
#include "decision/sharing/watcher_selection.hpp"

#include <gtest/gtest.h>

namespace cicadahub::sharing
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};

TEST(lag_detector, a_steady_stream_of_changes_is_not_a_lag)
{
    lag_detector detector(milliseconds(800));
    for (int n = 0; n < 50; ++n)
    {
        const time_point now = start + n * milliseconds(200);
        const auto newest = static_cast<std::uint64_t>(n) + 2;
        EXPECT_FALSE(detector.is_behind(object_version(newest - 1),
                                        object_version(newest), now));
    }
}

TEST(lag_detector, a_change_that_stays_missing_is_a_lag)
{
    lag_detector detector(milliseconds(800));
    const object_version own(5);
    EXPECT_FALSE(detector.is_behind(own, object_version(7), start));
    EXPECT_FALSE(
        detector.is_behind(own, object_version(8), start + milliseconds(600)));
    EXPECT_TRUE(
        detector.is_behind(own, object_version(9), start + milliseconds(800)));
    EXPECT_FALSE(detector.is_behind(object_version(9), object_version(9),
                                    start + milliseconds(900)));
}

struct watcher_case
{
    const char* name;
    const char* self;
    std::vector<daemon_id> others;
    bool is_watcher;

    friend void PrintTo(const watcher_case& it, std::ostream* out)
    {
        *out << it.name;
    }
};

class watcher_selection_table : public testing::TestWithParam<watcher_case>
{
};

TEST_P(watcher_selection_table, is_as_stated)
{
    const watcher_case& it = GetParam();
    EXPECT_EQ(is_watcher(daemon_id(it.self), it.others), it.is_watcher);
}

INSTANTIATE_TEST_SUITE_P(
    cases, watcher_selection_table,
    testing::Values(
        watcher_case{"a_host_that_hears_nobody_watches", "z", {}, true},
        watcher_case{
            "the_second_watches", "b", {daemon_id("c"), daemon_id("a")}, true},
        watcher_case{"the_third_does_not",
                     "c",
                     {daemon_id("b"), daemon_id("a"), daemon_id("d")},
                     false}),
    [](const auto& it) { return std::string(it.param.name); });

struct share_case
{
    const char* name;
    double own;
    double all;
    std::size_t hosts;
    double share;

    friend void PrintTo(const share_case& it, std::ostream* out)
    {
        *out << it.name;
    }
};

class share_of_demand_table : public testing::TestWithParam<share_case>
{
};

TEST_P(share_of_demand_table, is_as_stated)
{
    const share_case& it = GetParam();
    EXPECT_DOUBLE_EQ(share_of_demand(it.own, it.all, it.hosts), it.share);
}

INSTANTIATE_TEST_SUITE_P(
    cases, share_of_demand_table,
    testing::Values(share_case{"no_demand_is_parted_evenly", 0, 0, 8, 0.125},
                    share_case{"all_demand_at_one", 90, 90, 4, 0.8125},
                    share_case{"an_idle_host_keeps_a_floor", 0, 90, 4, 0.0625},
                    share_case{"alone", 10, 10, 1, 1.0}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(host_rate, hosts_together_stay_within_the_rate_and_the_slack)
{
    const quota::rate_limit fleet_limit{8'000, token_count(16'000)};
    constexpr std::int64_t slack_each = 500;
    constexpr std::size_t hosts = 4;
    std::vector<host_rate> parts;
    for (std::size_t n = 0; n < hosts; ++n)
    {
        parts.emplace_back(fleet_limit, 1.0 / hosts, slack_each, start);
    }
    std::int64_t spent = 0;
    constexpr int window_ms = 8'000;
    for (int at = 0; at < window_ms; at += 10)
    {
        // The demand moves from host to host.
        host_rate& busy = parts[static_cast<std::size_t>(at / 1'000) % hosts];
        if (!busy.charge(700, start + milliseconds(at)))
        {
            spent += 700;
        }
    }
    EXPECT_LE(spent, 8'000 * 8 + 16'000 +
                         slack_each * static_cast<std::int64_t>(hosts));
}

TEST(host_rate, returns_the_time_until_the_tokens_are_available)
{
    // The bucket of a new daemon is full after one second.
    host_rate rate({1'000, token_count(100)}, 1.0, 0, start - seconds(1));
    EXPECT_FALSE(rate.charge(100, start));
    const auto wait = rate.charge(50, start);
    ASSERT_TRUE(wait);
    EXPECT_EQ(*wait, milliseconds(50));
    EXPECT_FALSE(rate.charge(50, start + *wait));
}

TEST(host_rate, a_new_daemon_starts_without_a_full_burst)
{
    host_rate rate({1'000, token_count(100)}, 1.0, 0, start);
    EXPECT_FALSE(rate.charge(25, start));
    EXPECT_TRUE(rate.charge(25, start));
}

TEST(retry_budget, retries_are_bounded_by_the_requests_of_the_window)
{
    retry_budget budget({0.2, 0, milliseconds(10'000), 0.5});
    for (int n = 0; n < 100; ++n)
    {
        budget.on_request(start);
    }
    int taken = 0;
    while (budget.take(start + milliseconds(1)))
    {
        ++taken;
    }
    EXPECT_EQ(taken, 10);
    EXPECT_FALSE(budget.take(start + seconds(9)));
    budget.on_request(start + seconds(11));
    EXPECT_FALSE(budget.take(start + seconds(11)));
}

TEST(server_health, occasional_failures_do_not_suspend_a_server)
{
    server_health health;
    for (int n = 0; n < 200; ++n)
    {
        if (n % 7 == 0)
        {
            EXPECT_FALSE(health.on_failure(start));
        }
        else
        {
            health.on_success();
        }
    }
    EXPECT_TRUE(health.is_trusted(start));
}

TEST(server_health, a_server_that_keeps_failing_is_suspended_for_longer)
{
    server_health health;
    time_point now = start;
    while (!health.on_failure(now))
    {
        now += milliseconds(10);
    }
    EXPECT_FALSE(health.is_trusted(now + milliseconds(900)));
    EXPECT_TRUE(health.is_trusted(now + milliseconds(1'000)));
    now += milliseconds(1'000);
    while (!health.on_failure(now))
    {
    }
    EXPECT_FALSE(health.is_trusted(now + milliseconds(1'900)));
}

} // namespace
} // namespace cicadahub::sharing
