#include "decision/routing/server_pace.hpp"

#include <gtest/gtest.h>

namespace cicadahub::routing
{
namespace
{

constexpr time_point start{seconds(100)};

// Guards against a slow moment that is taken for a slow server, and the other
// way round.
TEST(server_pace, a_statement_holds_shortly_and_then_nears_the_mean)
{
    server_pace subject;
    EXPECT_EQ(subject.factor(start), 1);
    for (int n = -100; n < 0; ++n)
    {
        subject.on_statement(100, start + n * milliseconds(200));
    }
    subject.on_statement(300, start);
    EXPECT_DOUBLE_EQ(subject.stated(start + server_pace::statement_hold), 3);
    EXPECT_LT(subject.stated(start + milliseconds(300)), 2);
    EXPECT_LT(subject.stated(start + milliseconds(2'000)), 1.1);
}

// Guards against a server that is half as fast as it states and gets as many
// requests as the rest.
TEST(server_pace, learns_from_outcomes_what_statements_leave_out)
{
    constexpr attempt_times usual{milliseconds(20), milliseconds(20)};
    constexpr attempt_times slow{milliseconds(40), milliseconds(40)};
    server_pace subject;
    subject.on_statement(100, start);
    subject.on_outcome(slow, usual, start);
    EXPECT_LT(subject.factor(start), 1.2);
    for (int n = 0; n < 100; ++n)
    {
        subject.on_outcome(slow, usual, start);
    }
    EXPECT_NEAR(subject.factor(start), 2, 0.2);
}

TEST(server_pace, is_used_for_a_service_while_it_is_stated)
{
    service_pace subject;
    EXPECT_FALSE(subject.is_stated(start));
    subject.on_stated(start);
    EXPECT_TRUE(subject.is_stated(start + service_pace::statement_lifetime));
    EXPECT_FALSE(subject.is_stated(start + service_pace::statement_lifetime +
                                   milliseconds(1)));
}

TEST(server_pace, usual_times_are_those_of_a_server_of_usual_pace)
{
    service_pace subject;
    for (int n = 0; n < 100; ++n)
    {
        subject.on_outcome({milliseconds(10), milliseconds(100)}, 1);
        subject.on_outcome({milliseconds(25), milliseconds(250)}, 2.5);
    }
    EXPECT_EQ(subject.usual().first, milliseconds(10));
    EXPECT_EQ(subject.usual().whole, milliseconds(100));
}

} // namespace
} // namespace cicadahub::routing
