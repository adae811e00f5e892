#include "entry/fleet/fleet_view.hpp"

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

// Guards against requests that count twice, as a host's own and in the sum that
// the holder of the placement lease adds, so that servers seem full at half of
// their slots.
TEST(fleet_view, counts_the_requests_of_other_hosts_once)
{
    const auto work = [](const char* server, int running)
    {
        fleet::wire::ServerWork it;
        it.server = server;
        it.running = running;
        return it;
    };
    fleet_view view;
    auto holder = digest("a", 1, 0);
    holder.__set_placement_epoch(1);
    holder.__set_work({work("s", 2), work("s", 10), work("t", 4)});
    view.on_digest(holder, address(2), start);
    auto other = digest("b", 1, 0);
    other.__set_work({work("s", 3), work("t", 1)});
    view.on_digest(other, address(3), start);
    const auto seen = view.running_elsewhere();
    EXPECT_EQ(seen.at("s"), 5U);
    EXPECT_EQ(seen.at("t"), 1U);
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

struct part_case
{
    const char* name;
    bool are_members_listed;
    /// Hosts that the other one knows of; empty if it has not reported.
    std::optional<std::int32_t> known_elsewhere;
    milliseconds silence;
    double part;
};

void PrintTo(const part_case& it, std::ostream* out)
{
    *out << it.name;
}

class own_parts : public testing::TestWithParam<part_case>
{
};

// Guards against hosts that use more of a limit than their parts, since they do
// not hear the others or have just started.
TEST_P(own_parts, add_up_to_the_whole)
{
    const part_case& it = GetParam();
    fleet_view view;
    view.add_address(address(2), start);
    if (it.are_members_listed)
    {
        view.on_members_listed();
    }
    if (it.known_elsewhere)
    {
        fleet::wire::Digest told = digest("a", 1, 0);
        told.hosts = *it.known_elsewhere;
        view.on_digest(told, address(2), start);
    }
    view.drop_silent(start + it.silence);
    view.drop_silent(start + it.silence);
    EXPECT_DOUBLE_EQ(view.own_part(start + it.silence), it.part);
}

INSTANTIATE_TEST_SUITE_P(
    fleet_view, own_parts,
    testing::Values(
        part_case{"nobody_known", false, std::nullopt, seconds(0), 0},
        part_case{"members_listed", true, std::nullopt, seconds(0), 0.5},
        part_case{"other_does_not_know", false, 0, seconds(0), 0},
        part_case{"other_knows_as_many", false, 2, seconds(0), 0.5},
        part_case{"other_knows_more", true, 8, seconds(0), 0.125},
        part_case{"silent", true, 2, seconds(5), 0.5},
        part_case{"long_silent", true, 2, seconds(100), 0.5},
        part_case{"never_reported", true, std::nullopt, seconds(100), 0.5},
        part_case{"gone", true, 2, seconds(121), 1}),
    [](const auto& it) { return std::string(it.param.name); });

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

// Guards against prompts that stay counted, so that servers are avoided, after
// the host that reported them is lost or cut off.
TEST(fleet_view, unread_prompts_are_those_of_hosts_in_contact)
{
    const auto with_work = [](const std::string& sender, std::int64_t number,
                              std::optional<std::int64_t> unread)
    {
        fleet::wire::Digest it = digest(sender, number, 0);
        fleet::wire::ServerWork work;
        work.server = "s";
        work.running = 1;
        if (unread)
        {
            work.__set_unread_tokens(*unread);
        }
        it.__set_work({work});
        return it;
    };
    fleet_view view;
    view.on_digest(with_work("a", 1, 9'000), address(2), start);
    view.on_digest(with_work("b", 1, 300), address(3), start);
    // An earlier build does not count prompts.
    view.on_digest(with_work("c", 1, std::nullopt), address(4), start);
    EXPECT_EQ(view.unread_by_server().at("s"), 9'300);
    EXPECT_EQ(view.running_by_server().at("s"), 3U);
    EXPECT_EQ(view.work_received_at(), start);
    auto cut_off = with_work("b", 2, 300);
    cut_off.is_cut_off = true;
    const time_point later = start + seconds(5);
    view.on_digest(cut_off, address(3), later);
    EXPECT_EQ(view.unread_by_server().at("s"), 9'000);
    EXPECT_TRUE(view.drop_silent(later));
    EXPECT_TRUE(view.unread_by_server().empty());
}

} // namespace
} // namespace cicadahub::entry
