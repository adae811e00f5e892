#include "decision/sharing/source_selection.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace cicadahub::sharing
{
namespace
{

object_source source(std::uint64_t version, bool is_near)
{
    return {object_version(version), is_near};
}

struct source_case
{
    const char* name;
    std::vector<object_source> sources;
    std::set<std::size_t> chosen;
};

void PrintTo(const source_case& it, std::ostream* out)
{
    *out << it.name;
}

class source_selection : public testing::TestWithParam<source_case>
{
};

TEST_P(source_selection, spreads_over_the_near_hosts_that_know_more)
{
    std::mt19937_64 random(1);
    std::set<std::size_t> chosen;
    for (int n = 0; n < 200; ++n)
    {
        const auto it =
            select_source(GetParam().sources, object_version(5), random());
        if (it)
        {
            chosen.insert(*it);
        }
    }
    EXPECT_EQ(chosen, GetParam().chosen);
}

INSTANTIATE_TEST_SUITE_P(
    sharing, source_selection,
    testing::Values(
        source_case{"none", {}, {}},
        source_case{"none_knows_more", {source(5, true), source(3, false)}, {}},
        source_case{"near",
                    {source(9, false), source(6, true), source(6, true)},
                    {1, 2}},
        source_case{"far",
                    {source(6, false), source(5, true), source(6, false)},
                    {0, 2}}),
    [](const auto& it) { return std::string(it.param.name); });

// Most fetches go to hosts that know the newest version, but not all.
TEST(source_selection, prefers_hosts_that_know_more)
{
    const std::vector<object_source> sources{source(6, true), source(7, true)};
    std::mt19937_64 random(1);
    std::size_t newest = 0;
    constexpr std::size_t draws = 1'000;
    for (std::size_t n = 0; n < draws; ++n)
    {
        newest += select_source(sources, object_version(5), random()) == 1U;
    }
    EXPECT_GT(newest, draws * 7 / 10);
    EXPECT_LT(newest, draws * 8 / 10);
}

} // namespace
} // namespace cicadahub::sharing
