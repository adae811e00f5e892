#include "decision/sharing/cold_period.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace cicadahub::sharing
{
namespace
{

constexpr time_point seen{std::chrono::seconds(1'000)};
constexpr milliseconds length{20'000};

struct start_case
{
    const char* name;
    /// Age of the incarnation when it became known, by its own clock.
    std::optional<milliseconds> age;
    /// Traffic before that.
    milliseconds traffic;
    /// Time for which it is assumed to be cold then.
    milliseconds cold;
};

void PrintTo(const start_case& it, std::ostream* out)
{
    *out << it.name;
}

class cold_starts : public testing::TestWithParam<start_case>
{
};

// Guards against hosts that take a server for warm because the clocks differ,
// and against servers from before the traffic that are taken for cold.
TEST_P(cold_starts, are_assumed)
{
    const start_case& it = GetParam();
    const bool is_assumed =
        cold_period::is_start_during_traffic(seen, it.age, seen - it.traffic);
    cold_period subject;
    if (is_assumed)
    {
        subject.assume(cold_period::assumed_end(length, seen, it.age));
    }
    EXPECT_EQ(subject.left(seen), it.cold);
    EXPECT_EQ(subject.left_first_hand(seen), it.cold);
}

INSTANTIATE_TEST_SUITE_P(
    cold_period, cold_starts,
    testing::Values(
        start_case{"just_now", milliseconds(0), milliseconds(60'000), length},
        start_case{"clock_ahead", milliseconds(-4'000), milliseconds(60'000),
                   length},
        start_case{"clock_behind", milliseconds(8'000), milliseconds(60'000),
                   length},
        start_case{"long_ago", milliseconds(30'000), milliseconds(60'000),
                   milliseconds(0)},
        start_case{"some_time_ago", milliseconds(16'000), milliseconds(60'000),
                   milliseconds(14'000)},
        start_case{"no_start_told", std::nullopt, milliseconds(60'000), length},
        start_case{"before_traffic", milliseconds(16'000), milliseconds(5'000),
                   milliseconds(0)},
        start_case{"known_before_traffic", milliseconds(0),
                   milliseconds(-1'000), milliseconds(0)}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(cold_period, an_entry_without_time_left_does_not_end_it)
{
    cold_period subject;
    subject.on_entry(milliseconds(5'000), seen);
    subject.on_entry(milliseconds(0), seen + milliseconds(100));
    EXPECT_EQ(subject.left(seen + milliseconds(100)), milliseconds(4'900));
    subject.on_entry(milliseconds(1'000), seen + milliseconds(100));
    EXPECT_EQ(subject.left(seen + milliseconds(100)), milliseconds(4'900));
}

TEST(cold_period, an_answer_ends_it_unless_it_is_out_of_date)
{
    cold_period subject;
    subject.on_answer(milliseconds(5'000), seen);
    subject.on_answer(milliseconds(0), seen + milliseconds(500));
    EXPECT_TRUE(subject.is_cold(seen + milliseconds(500)));
    const time_point later = seen + cold_period::statement_delay;
    subject.on_answer(milliseconds(0), later);
    EXPECT_FALSE(subject.is_cold(later));
}

// Guards against a period that hosts extend by telling each other of it.
TEST(cold_period, what_others_told_is_not_handed_on)
{
    cold_period subject;
    subject.on_peer(milliseconds(5'000), seen);
    EXPECT_EQ(subject.left(seen), milliseconds(5'000));
    EXPECT_EQ(subject.left_first_hand(seen), milliseconds(0));
    subject.on_entry(milliseconds(1'000), seen);
    EXPECT_EQ(subject.left_first_hand(seen), milliseconds(1'000));
    EXPECT_EQ(subject.left(seen), milliseconds(5'000));
}

} // namespace
} // namespace cicadahub::sharing
