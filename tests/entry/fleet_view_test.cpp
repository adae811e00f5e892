#include "entry/fleet_view.hpp"

#include <gtest/gtest.h>

namespace cicadahub::entry
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};
const organisation_id trust("trust");

http::endpoint address(unsigned char host)
{
    return {boost::asio::ip::address_v4({127, 0, 0, host}), 7000};
}

fleet::wire::Digest digest(const std::string& sender, std::int64_t number,
                           double demand)
{
    fleet::wire::Digest it;
    it.sender = sender;
    it.incarnation = 1;
    it.number = number;
    fleet::wire::OrganisationDemand entry;
    entry.organisation = trust.value();
    entry.per_second = demand;
    it.demand.push_back(entry);
    return it;
}

TEST(fleet_view, ignores_digests_that_arrive_out_of_order)
{
    fleet_view view;
    EXPECT_TRUE(view.on_digest(digest("a", 5, 10), address(2), start));
    EXPECT_FALSE(view.on_digest(digest("a", 4, 99), address(2), start));
    EXPECT_DOUBLE_EQ(view.demand_of_others(trust, 0, start), 10);
    fleet::wire::Digest restarted = digest("a", 1, 7);
    restarted.incarnation = 2;
    EXPECT_TRUE(view.on_digest(restarted, address(2), start));
    EXPECT_DOUBLE_EQ(view.demand_of_others(trust, 0, start), 7);
}

// A partitioned host still serves its callers. If the other hosts took over its
// share of the rate at once, the organisation would exceed its rate.
TEST(fleet_view, a_silent_host_keeps_its_part_of_the_demand)
{
    fleet_view view;
    view.add_address(address(2), start);
    view.on_digest(digest("a", 1, 30), address(2), start);
    const time_point later = start + seconds(5);
    EXPECT_TRUE(view.drop_silent(later));
    EXPECT_TRUE(view.peers().empty());
    EXPECT_DOUBLE_EQ(view.demand_of_others(trust, 10, later), 30);
    EXPECT_EQ(view.host_count(later), 2U);
}

TEST(fleet_view, a_host_silent_beyond_the_limit_is_forgotten)
{
    fleet_view view;
    view.add_address(address(2), start);
    view.on_digest(digest("a", 1, 30), address(2), start);
    view.drop_silent(start + seconds(5));
    const time_point end = start + seconds(21);
    view.drop_silent(end);
    EXPECT_DOUBLE_EQ(view.demand_of_others(trust, 10, end), 0);
    EXPECT_EQ(view.host_count(end), 1U);
}

TEST(fleet_view, counts_what_others_spend_while_in_contact)
{
    fleet_view view;
    const auto receive =
        [&](std::int64_t number, std::int64_t spent, std::int64_t incarnation)
    {
        fleet::wire::Digest it = digest("a", number, 10);
        it.incarnation = incarnation;
        it.demand.front().spent = spent;
        view.on_digest(it, address(2), start);
        return view.spent_by_others(trust);
    };
    EXPECT_EQ(receive(1, 500, 1), 0);
    EXPECT_EQ(receive(2, 800, 1), 300);
    EXPECT_EQ(receive(1, 50, 2), 350);
    EXPECT_TRUE(view.is_complete(start));
    // Tokens spent while out of contact came from the host's own share of the
    // rate, and are not added.
    const time_point later = start + seconds(5);
    view.drop_silent(later);
    EXPECT_FALSE(view.is_complete(later));
    EXPECT_EQ(receive(9, 9'000, 2), 350);
}

// After a restart of all hosts no host has received a digest of another yet.
TEST(fleet_view, hosts_without_a_digest_yet_count_as_the_mean)
{
    fleet_view view;
    view.add_address(address(2), start);
    view.add_address(address(3), start);
    EXPECT_EQ(view.host_count(start), 3U);
    EXPECT_DOUBLE_EQ(view.demand_of_others(trust, 10, start), 20);
}

} // namespace
} // namespace cicadahub::entry
