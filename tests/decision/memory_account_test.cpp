#include "decision/admission/memory_account.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace cicadahub::admission
{
namespace
{

constexpr std::size_t first_bytes = 16 * 1024;
constexpr std::size_t body_bytes = 4 * 1024 * 1024;
constexpr std::size_t small_request = 64 * 1024;

using verdict = memory_account::verdict;

/// Lets a request double its memory up to that of a whole body. A refusal frees
/// what it holds.
verdict grow(memory_account& account, std::size_t& held)
{
    verdict it = verdict::taken;
    while (held < body_bytes && it == verdict::taken)
    {
        const std::size_t added = std::max(held, first_bytes);
        it = account.ask(held, added);
        held += it == verdict::taken ? added : 0;
    }
    if (it == verdict::refused)
    {
        account.give_back(held);
        held = 0;
    }
    return it;
}

class accounts : public testing::TestWithParam<std::size_t>
{
protected:
    memory_account subject{memory_limits_of(GetParam() * 1'000'000)};
};

// Guards against a single request within the limits that a host refuses.
TEST_P(accounts, hold_a_whole_body_in_calm)
{
    std::size_t held = 0;
    EXPECT_EQ(grow(subject, held), verdict::taken);
}

// Guards against a crowd of large bodies that takes all memory of a host, or
// the part of it that small requests and responses need.
TEST_P(accounts, keep_the_reserve_from_a_crowd_of_large_bodies)
{
    std::vector<std::size_t> crowd(400);
    for (std::size_t& it : crowd)
    {
        if (grow(subject, it) == verdict::waits)
        {
            subject.begin_wait();
        }
    }
    const memory_limits limits = subject.limits();
    EXPECT_LE(subject.used(), limits.total);
    EXPECT_TRUE(subject.refuses_large());
    EXPECT_TRUE(subject.take(0, small_request));
    EXPECT_TRUE(subject.take_for_response(small_request));
    // A request that ends lets others go on.
    subject.give_back(crowd.front() + 2 * small_request);
    crowd.erase(crowd.begin());
    EXPECT_TRUE(std::any_of(crowd.begin(), crowd.end(),
                            [&](std::size_t it)
                            { return subject.take(it, first_bytes); }));
}

// Guards against many bodies that are sent at once, and all wait for memory
// until the read timeout.
TEST_P(accounts, hold_a_crowd_of_whole_bodies_one_after_the_other)
{
    std::vector<std::size_t> crowd(400);
    for (std::size_t& it : crowd)
    {
        grow(subject, it);
    }
    EXPECT_TRUE(subject.begin_finish());
    EXPECT_FALSE(subject.begin_finish());
    for (std::size_t& it : crowd)
    {
        const std::size_t missing = it == 0 ? 0 : body_bytes - it;
        EXPECT_TRUE(subject.take_to_finish(missing));
        subject.give_back(it + missing);
    }
    EXPECT_EQ(subject.used(), 0U);
}

INSTANTIATE_TEST_SUITE_P(megabytes, accounts,
                         testing::Values(64, 96, 160, 260, 512),
                         testing::PrintToStringParamName());

// Guards against requests at the beginning of their bodies that wait behind
// those that hold most.
TEST(memory_account, lets_those_that_hold_most_wait_first)
{
    memory_account subject({10'000, 1'000, 0, 100});
    EXPECT_TRUE(subject.take(0, 4'000));
    EXPECT_FALSE(subject.take(4'000, 4'000));
    EXPECT_TRUE(subject.take(0, 1'000));
    EXPECT_TRUE(subject.take(1'000, 1'000));
}

} // namespace
} // namespace cicadahub::admission
