#include "decision/routing/allowed_regions.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace cicadahub::routing
{
namespace
{

using region_set = allowed_regions::region_set;

const region_id north("north");
const region_id south("south");

struct region_case
{
    const char* name;
    region_set route;
    region_set organisation;
    bool allows_north;
    bool allows_unknown;
};

void PrintTo(const region_case& it, std::ostream* out)
{
    *out << it.name;
}

class region_rules : public testing::TestWithParam<region_case>
{
};

// Guards against requests in regions that the route or its organisation does
// not allow.
TEST_P(region_rules, are_all_binding)
{
    const region_case& it = GetParam();
    allowed_regions subject;
    subject.restrict_to(it.route);
    subject.restrict_to(it.organisation);
    EXPECT_EQ(subject.allows(&north), it.allows_north);
    EXPECT_EQ(subject.allows(nullptr), it.allows_unknown);
    if (subject.regions())
    {
        EXPECT_EQ(regions_from(to_text(*subject.regions())),
                  *subject.regions());
    }
}

INSTANTIATE_TEST_SUITE_P(
    allowed_regions, region_rules,
    testing::Values(
        region_case{"none", {}, {}, true, true},
        region_case{"route", region_set({north}), {}, true, false},
        region_case{"organisation", {}, region_set({south}), false, false},
        region_case{"both", region_set({north, south}), region_set({north}),
                    true, false},
        region_case{"disjoint", region_set({north}), region_set({south}), false,
                    false},
        region_case{"empty", region_set(std::in_place), {}, false, false}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::routing
