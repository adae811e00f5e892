#include "decision/routing/allowed_regions.hpp"

#include <gtest/gtest.h>

namespace cicadahub::routing
{
namespace
{

// Guards against requests in regions that the route or its organisation does
// not allow, and in those that nobody knows.
TEST(allowed_regions, are_those_of_the_route_and_the_organisation)
{
    const region_id north("north");
    const region_id south("south");
    allowed_regions subject;
    subject.restrict_to(std::nullopt);
    EXPECT_TRUE(subject.allows(&north));
    EXPECT_TRUE(subject.allows(nullptr));
    subject.restrict_to(std::set{north, south});
    EXPECT_TRUE(subject.allows(&north));
    EXPECT_FALSE(subject.allows(nullptr));
    EXPECT_EQ(regions_from(to_text(*subject.regions())), *subject.regions());
    subject.restrict_to(std::set{south});
    EXPECT_FALSE(subject.allows(&north));
    EXPECT_TRUE(subject.allows(&south));
    subject.restrict_to(std::set{north});
    EXPECT_FALSE(subject.allows(&south));
    EXPECT_EQ(regions_from(to_text(*subject.regions())), *subject.regions());
}

} // namespace
} // namespace cicadahub::routing
