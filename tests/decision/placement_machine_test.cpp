#include "placement_run.hpp"

namespace cicadahub::placement
{
namespace
{

struct run_case
{
    const char* name;
    std::uint64_t seed;
    placement_faults faults;

    friend void PrintTo(const run_case& it, std::ostream* out)
    {
        *out << it.name << " seed " << it.seed;
    }
};

placement_faults with_faults(double lost, double late, double failed,
                             std::int64_t owner_ms, std::int64_t crash_ms)
{
    placement_faults it;
    it.lost_answers = lost;
    it.late_orders = late;
    it.failed_loads = failed;
    it.owner_change = milliseconds(owner_ms);
    it.server_crash = milliseconds(crash_ms);
    return it;
}

placement_faults none_fencing(placement_faults it)
{
    it.none_fencing = true;
    return it;
}

placement_faults all_fencing(placement_faults it)
{
    it.all_fencing = true;
    return it;
}

class placement_runs : public testing::TestWithParam<run_case>
{
};

TEST_P(placement_runs, load_only_persisted_replicas_that_fit)
{
    placement_run run(GetParam().seed, {}, GetParam().faults);
    run.send_random_wakes();
    run.simulation.run_until(time_point(seconds(600)));
    EXPECT_GT(run.asked, 10'000u);
    EXPECT_GT(run.served, run.asked / 20);
    EXPECT_GT(run.total_loads(), 100u);
    std::cout << "steps " << run.simulation.steps() << " asked " << run.asked
              << " served " << run.served << " refused " << run.refused
              << " loads " << run.total_loads() << " takeovers "
              << run.takeovers << " most loading " << run.max_concurrent_loads
              << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    faults, placement_runs,
    testing::Values(
        run_case{"calm", 1, {}},
        run_case{"lost_answers", 2, with_faults(0.2, 0, 0, 0, 0)},
        run_case{"late_orders", 3, with_faults(0, 0.1, 0, 0, 0)},
        run_case{"failed_loads", 4, with_faults(0, 0, 0.2, 0, 0)},
        run_case{"owner_changes", 5, with_faults(0, 0, 0, 2'000, 0)},
        run_case{"server_crashes", 6, with_faults(0, 0, 0, 0, 3'000)},
        run_case{"everything", 7, with_faults(0.1, 0.05, 0.1, 4'000, 9'000)},
        run_case{"everything_fenced", 8,
                 all_fencing(with_faults(0.1, 0.1, 0.1, 3'000, 9'000))},
        run_case{"everything_unfenced", 9,
                 none_fencing(with_faults(0.1, 0.1, 0.1, 3'000, 9'000))},
        // Fails if new owners send orders before their first write.
        run_case{"late_write_of_a_former_owner", 716'522,
                 none_fencing(with_faults(0.1, 0.1, 0.1, 3'000, 9'000))},
        // If each new owner restarts the wait for late orders, only 615 of
        // 13,700 wakes are served.
        run_case{"waits_that_outlive_owners", 713'622,
                 none_fencing(with_faults(0.1, 0.1, 0.1, 3'000, 9'000))}),
    [](const auto& it) { return it.param.name; });

TEST(placement_machine, a_burst_from_many_daemons_causes_one_load)
{
    placement_run run(1, {}, {});
    run.simulation.run_until(time_point(seconds(1)));
    for (int n = 0; n < 9; ++n)
    {
        run.send_wake(run.items()[0].id, milliseconds(5'000));
    }
    run.simulation.run_until(time_point(seconds(8)));
    EXPECT_EQ(run.total_loads(), 1u);
    EXPECT_EQ(run.served, 9u);
}

TEST(placement_machine, loads_stay_inside_the_weight_store_limits)
{
    placement_sizes sizes;
    sizes.adapters = 0;
    placement_run run(1, sizes, {});
    run.simulation.run_until(time_point(seconds(1)));
    for (const item_spec& it : run.items())
    {
        run.send_wake(it.id, milliseconds(60'000));
    }
    run.simulation.run_until(time_point(seconds(61)));
    EXPECT_LE(run.max_concurrent_loads, load_limits{}.models_in_flight);
    // Three loads per second for a minute are enough for the forty models.
    EXPECT_EQ(run.served, run.items().size());
}

} // namespace
} // namespace cicadahub::placement
