#include "quota_run.hpp"

namespace cicadahub::quota
{
namespace
{

TEST(local_rate, a_grant_is_not_spent_after_its_expiry)
{
    const quota_timing timing;
    const time_point asked_at(seconds(10));
    local_rate rate({1'000, token_count(1'000)}, timing, asked_at);
    rate.on_granted({1, token_count(100), epoch_number(1), {}}, asked_at);
    // The grant's lifetime counts from the request, not from the answer.
    EXPECT_EQ(
        rate.available(asked_at + timing.grant_lifetime - milliseconds(1)),
        token_count(100));
    EXPECT_FALSE(rate.spend(token_count(1), asked_at + timing.grant_lifetime));
}

TEST(local_rate, an_expired_slot_is_not_spent)
{
    const time_point start(seconds(10));
    local_rate rate({1'000, token_count(1'000)}, {}, start);
    rate.hold_slot(start + seconds(60), start);
    EXPECT_TRUE(rate.spend(token_count(1), start + seconds(59)));
    EXPECT_FALSE(rate.spend(token_count(1), start + seconds(60)));
}

class quota_runs : public testing::TestWithParam<quota_case>
{
};

TEST_P(quota_runs, never_spend_more_than_burst_and_rate)
{
    quota_run run(GetParam());
    run.simulation.run_until(time_point(seconds(600)));
    // All buckets start empty, so the reference bucket must stay at or above
    // zero.
    EXPECT_GE(run.lowest_level, 0);
    EXPECT_GT(run.spent, 10'000u);
    std::cout << "asked " << run.requests << " spent " << run.spent
              << " refused inside the rate " << run.refused_within_rate << " ("
              << 100.0 * static_cast<double>(run.refused_within_rate) /
                     static_cast<double>(run.requests)
              << "%)\n";
}

quota_case make_case(const char* name, std::uint64_t seed, double demand)
{
    quota_case it{};
    it.name = name;
    it.seed = seed;
    it.demand = demand;
    return it;
}

std::vector<quota_case> quota_cases()
{
    std::vector<quota_case> cases;
    cases.push_back(make_case("even_under_the_rate", 1, 0.8));
    cases.push_back(make_case("even_at_five_times_the_rate", 2, 5));
    cases.push_back(make_case("uneven_under_the_rate", 3, 0.8));
    cases.back().skew = 0.6;
    cases.push_back(make_case("owners_die", 4, 2));
    cases.back().owner_change = milliseconds(60'000);
    cases.push_back(make_case("owners_hand_over", 5, 2));
    cases.back().owner_change = milliseconds(5'000);
    cases.back().planned = 1;
    cases.push_back(make_case("messages_are_lost", 6, 2));
    cases.back().lost_messages = 0.2;
    cases.push_back(make_case("long_outages", 7, 2));
    cases.back().outage_every = milliseconds(100'000);
    cases.push_back(make_case("everything", 8, 3));
    cases.back().owner_change = milliseconds(20'000);
    cases.back().planned = 0.5;
    cases.back().skew = 0.5;
    cases.back().lost_messages = 0.1;
    return cases;
}

INSTANTIATE_TEST_SUITE_P(table, quota_runs, testing::ValuesIn(quota_cases()),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace cicadahub::quota
