#include "decision/sharing/server_room.hpp"

#include <gtest/gtest.h>

namespace cicadahub::sharing
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};

struct backoff_case
{
    const char* name;
    int rejections;
    double draw;
    milliseconds backoff;
};

void PrintTo(const backoff_case& it, std::ostream* out)
{
    *out << it.name;
}

class room_backoffs : public testing::TestWithParam<backoff_case>
{
};

TEST_P(room_backoffs, grow_with_the_rejections)
{
    server_room subject;
    for (int n = 0; n < GetParam().rejections; ++n)
    {
        subject.on_rejected(start, start, GetParam().draw);
    }
    EXPECT_EQ(subject.time_to_try(start), GetParam().backoff);
    EXPECT_EQ(subject.is_full(start), GetParam().backoff.count() > 0);
    EXPECT_FALSE(subject.is_full(start + GetParam().backoff));
}

INSTANTIATE_TEST_SUITE_P(
    server_room, room_backoffs,
    testing::Values(backoff_case{"none", 0, 1, milliseconds(0)},
                    backoff_case{"first", 1, 1, milliseconds(40)},
                    backoff_case{"first_early", 1, 0, milliseconds(20)},
                    backoff_case{"third", 3, 1, milliseconds(160)},
                    backoff_case{"many", 50, 1, milliseconds(320)}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(server_room, admits_one_trial_at_a_time_after_a_rejection)
{
    server_room subject;
    subject.on_sent(start);
    EXPECT_FALSE(subject.is_full(start));
    subject.on_rejected(start, start, 1);
    const time_point later = start + server_room::first_backoff;
    subject.on_sent(later);
    EXPECT_TRUE(subject.is_full(later));
    subject.on_accepted(start - milliseconds(1));
    EXPECT_TRUE(subject.is_full(later));
    subject.on_accepted(later);
    EXPECT_FALSE(subject.is_full(later));
}

TEST(server_room, does_not_wait_for_a_trial_without_an_end)
{
    server_room subject;
    subject.on_rejected(start, start, 1);
    subject.on_sent(start);
    EXPECT_FALSE(subject.is_full(start + server_room::trial_limit));
}

TEST(server_room, counts_rejections_of_one_moment_once)
{
    server_room subject;
    const time_point rejected_at = start + milliseconds(1);
    for (int n = 0; n < 10; ++n)
    {
        subject.on_rejected(start, rejected_at, 1);
    }
    EXPECT_EQ(subject.time_to_try(rejected_at), server_room::first_backoff);
}

TEST(server_room, has_room_when_a_request_has_ended)
{
    server_room subject;
    subject.on_rejected(start, start, 1);
    subject.on_ended();
    EXPECT_FALSE(subject.is_full(start));
}

TEST(server_room, begins_anew_after_an_accepted_request)
{
    server_room subject;
    subject.on_rejected(start, start, 1);
    subject.on_rejected(start, start, 1);
    subject.on_accepted(start);
    subject.on_rejected(start, start, 1);
    EXPECT_EQ(subject.time_to_try(start), server_room::first_backoff);
}

} // namespace
} // namespace cicadahub::sharing
