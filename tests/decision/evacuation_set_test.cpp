#include "decision/routing/evacuation_set.hpp"

#include <gtest/gtest.h>

namespace cicadahub::routing
{
namespace
{

const std::set<data_centre_id> none;
const std::set<data_centre_id> north{data_centre_id("north")};

// Guards against an evacuation that is lost or comes back because objects of
// the store and of peers arrive in any order.
TEST(evacuation_set, follows_the_newest_version)
{
    evacuation_set subject;
    subject.end_of_batch(true, object_version(4));
    EXPECT_TRUE(subject.is_known());
    EXPECT_EQ(subject.changed_version(), object_version(0));
    subject.apply("north", object_version(5), false);
    subject.end_of_batch(false, object_version(5));
    EXPECT_EQ(subject.data_centres(), north);
    subject.apply("north", object_version(7), true);
    EXPECT_EQ(subject.changed_version(), object_version(7));
    subject.apply("north", object_version(5), false);
    EXPECT_EQ(subject.data_centres(), none);
    subject.apply("north", object_version(9), false);
    subject.apply("north", object_version(7), true);
    EXPECT_EQ(subject.data_centres(), north);
}

TEST(evacuation_set, a_full_list_ends_what_it_lacks_unless_that_is_newer)
{
    evacuation_set subject;
    subject.apply("north", object_version(5), false);
    subject.end_of_batch(false, object_version(5));
    subject.end_of_batch(true, object_version(4));
    EXPECT_EQ(subject.data_centres(), north);
    subject.end_of_batch(true, object_version(6));
    EXPECT_EQ(subject.data_centres(), none);
    EXPECT_EQ(subject.changed_version(), object_version(6));
    subject.apply("north", object_version(8), false);
    EXPECT_EQ(subject.data_centres(), north);
}

} // namespace
} // namespace cicadahub::routing
