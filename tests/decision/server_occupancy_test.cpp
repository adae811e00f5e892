#include "decision/routing/server_occupancy.hpp"

#include <gtest/gtest.h>

namespace cicadahub::routing
{
namespace
{

constexpr time_point start{seconds(100)};
constexpr milliseconds request_time{20};
constexpr milliseconds report_age{750};

struct statement_case
{
    const char* name;
    milliseconds age;
    std::uint32_t waiting;
    std::uint32_t reported;
    double least;
    double most;
};

void PrintTo(const statement_case& it, std::ostream* out)
{
    *out << it.name;
}

class aged_statements : public testing::TestWithParam<statement_case>
{
};

// Guards against a server that is avoided, or filled, because of requests that
// have long ended: the usual number there is 2, the last statement says 8.
TEST_P(aged_statements, count_less_than_what_is_usual)
{
    server_occupancy subject;
    for (int n = -50; n < 0; ++n)
    {
        subject.on_statement({3, 0, 6}, 1, start + n * milliseconds(200));
    }
    subject.on_statement({9 - GetParam().waiting, GetParam().waiting, 6}, 1,
                         start);
    subject.on_report(GetParam().reported, start - report_age, start);
    const auto estimate =
        subject.running_elsewhere(request_time, start + GetParam().age);
    EXPECT_GE(estimate.running, GetParam().least);
    EXPECT_LE(estimate.running, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    server_occupancy, aged_statements,
    testing::Values(
        statement_case{"new", milliseconds(0), 3, 2, 7.8, 8},
        statement_case{"of_one_request_ago", request_time, 3, 2, 4, 5},
        statement_case{"old", milliseconds(400), 3, 2, 1.8, 2.5},
        statement_case{"old_report", milliseconds(400), 3, 30, 1.8, 4},
        statement_case{"empty_queue", milliseconds(0), 0, 30, 7.5, 8}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(server_occupancy, a_recent_empty_queue_outweighs_the_reports)
{
    constexpr milliseconds long_request{2'000};
    server_occupancy subject;
    subject.on_statement({2, 0, 24}, 0, start);
    subject.on_report(24, start + milliseconds(200), start);
    const time_point now = start + milliseconds(600);
    EXPECT_LE(subject.running_elsewhere(long_request, now).running, 6);
}

// Guards against services without statements that are chosen by a mean.
TEST(server_occupancy, without_a_statement_the_last_report_counts)
{
    server_occupancy subject;
    subject.on_report(20, start, start);
    subject.on_report(5, start, start + milliseconds(10));
    EXPECT_EQ(subject.running_elsewhere(request_time, start).running, 5);
    EXPECT_FALSE(subject.has_statement(start));
    subject.on_statement({1, 0, 6}, 0, start);
    EXPECT_TRUE(subject.has_statement(start));
    EXPECT_FALSE(subject.has_statement(
        start + server_occupancy::statement_retention + milliseconds(1)));
}

// Guards against a back-off that grows while requests are rejected, so that
// servers stand idle.
TEST(server_occupancy, rejections_cost_a_short_pause)
{
    server_occupancy subject;
    subject.on_statement({6, 3, 6}, 0, start);
    time_point now = start;
    for (int n = 0; n < 10; ++n)
    {
        subject.on_rejected(now, request_time, 1, now);
        EXPECT_GT(subject.time_to_try(now).count(), 0);
        EXPECT_LE(subject.time_to_try(now), request_time);
        now += request_time;
        EXPECT_EQ(subject.time_to_try(now).count(), 0);
    }
    subject.on_rejected(now, request_time, 1, now);
    subject.on_ended();
    EXPECT_EQ(subject.time_to_try(now).count(), 0);
}

} // namespace
} // namespace cicadahub::routing
