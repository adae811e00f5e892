#include "disruption_run.hpp"

namespace cicadahub::entry
{
namespace
{

class disruption_runs : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(disruption_runs, break_no_rule)
{
    disruption_run run(GetParam());
    run.run_for(seconds(60));
    // The checks prove little in a run without the events.
    EXPECT_GT(run.requests, 3'000U);
    EXPECT_GT(run.sheds, 20U);
    EXPECT_GT(run.leaves_heard, 5U);
    EXPECT_GT(run.orders, 20U);
    EXPECT_GT(run.held_steps, 500U);
    std::cout << "requests " << run.requests << " sheds " << run.sheds
              << " leaves " << run.leaves_heard << " restores " << run.restores
              << " orders " << run.orders << " loads " << run.loads()
              << " held " << run.held_steps << "\n";
}

INSTANTIATE_TEST_SUITE_P(seeds, disruption_runs,
                         testing::Range<std::uint64_t>(1, 51));

} // namespace
} // namespace cicadahub::entry
