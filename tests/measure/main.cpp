#include "../decision/placement_run.hpp"
#include "../decision/quota_run.hpp"
#include "decision/admission/fair_queue.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace
{

using namespace cicadahub;

constexpr std::uint64_t seed = 1;
constexpr int daemons = 9;

struct site
{
    const char* name;
    int servers;
    int models;
    int adapters;
    double loads_per_second;
};

constexpr site sites[] = {{"Pohjatäht", 9, 50, 40, 3},
                          {"Saldanha", 18, 100, 120, 15}};

void print(const std::string& measure, double ours, double naive,
           const std::string& target, bool is_met)
{
    std::cout << std::left << std::setw(58) << measure << std::right
              << std::setw(12) << std::setprecision(4) << ours << std::setw(12)
              << naive << "  " << std::setw(22) << target << "  "
              << (is_met ? "met" : "MISSED") << "\n";
}

placement::placement_sizes sizes_of(const site& it)
{
    placement::placement_sizes sizes;
    sizes.servers = it.servers;
    sizes.server_memory = 80;
    sizes.models = it.models;
    sizes.adapters = it.adapters;
    return sizes;
}

placement::load_limits limits_of(const site& it)
{
    placement::load_limits limits;
    limits.models_per_second = it.loads_per_second;
    return limits;
}

/// Counts the loads caused by a burst on one cold model from nine daemons. The
/// naive policy loads once for each daemon, since none of them knows of a
/// replica.
void measure_burst(const site& it)
{
    placement::placement_run run(seed, sizes_of(it), {}, limits_of(it));
    run.simulation.run_until(time_point(seconds(1)));
    for (int n = 0; n < daemons; ++n)
    {
        run.send_wake(run.items()[0].id, milliseconds(10'000));
    }
    run.simulation.run_until(time_point(seconds(12)));
    const auto loads = static_cast<double>(run.total_loads());
    print("loads of a burst on one cold model from nine daemons", loads,
          daemons, "1", loads == 1);
}

/// Lower bound for the time until the last model of a burst is served, limited
/// only by the weight store: by its rate of load starts and by its four
/// concurrent loads at full speed.
double best_schedule_ms(const site& it, int models, double load_ms)
{
    const double by_rate = 1000.0 * models / it.loads_per_second;
    const double by_places = load_ms * models / 4;
    return std::max(by_rate, by_places) + load_ms;
}

/// Measures the cold starts of a burst of models. The naive policy loads each
/// model once for every daemon, within the same limits.
void measure_cold_start(const site& it)
{
    constexpr int burst = 40;
    constexpr double load_ms = 500;
    placement::placement_run run(seed, sizes_of(it), {}, limits_of(it));
    run.set_load_time(static_cast<std::int64_t>(load_ms));
    run.simulation.run_until(time_point(seconds(2)));
    for (int n = 0; n < burst; ++n)
    {
        run.send_wake(run.items()[static_cast<std::size_t>(n)].id,
                      milliseconds(120'000));
    }
    run.simulation.run_until(time_point(seconds(130)));
    const double best = best_schedule_ms(it, burst, load_ms);
    const double naive = best_schedule_ms(it, burst * daemons, load_ms);
    const double ours = run.wait_percentile(0.99);
    print("p99 cold start of 40 models at once, multiple of the bound",
          ours / best, naive / best, "at most 1.25", ours <= 1.25 * best);
}

double refused_inside_percent(const quota::quota_case& it, double& lowest)
{
    quota::quota_run run(it);
    run.simulation.run_until(time_point(seconds(600)));
    lowest = std::min(lowest, run.lowest_level);
    return 100.0 * static_cast<double>(run.refused_within_rate) /
           static_cast<double>(run.requests);
}

/// Percentage that an even split of the rate over the hosts would refuse, with
/// `skew` of the requests, and its even share of the rest, at the first daemon,
/// which has a ninth of the rate.
double even_split_percent(double demand, double skew)
{
    const double first = demand * (skew + (1 - skew) / daemons);
    const double served = std::min(first, 1.0 / daemons);
    return 100.0 * (first - served) / demand;
}

void measure_rates()
{
    double lowest = 0;
    quota::quota_case uneven{};
    uneven.seed = seed;
    uneven.demand = 0.8;
    uneven.skew = 0.6;
    const double refused = refused_inside_percent(uneven, lowest);
    print("refused within the rate, 60% at one daemon, percent", refused,
          even_split_percent(0.8, 0.6), "at most 0.5", refused <= 0.5);
    quota::quota_case with_owner_crashes = uneven;
    with_owner_crashes.owner_change = milliseconds(300'000);
    const double with_crashes =
        refused_inside_percent(with_owner_crashes, lowest);
    print("the same, owner changes every 300 s on average, percent",
          with_crashes, even_split_percent(0.8, 0.6), "at most 2",
          with_crashes <= 2);
    print("lowest level of the fleet-wide token bucket, tokens", lowest, 0,
          "not below 0", lowest >= 0);
}

/// Two organisations compete for a capacity of 100 requests per second: one
/// sends 45 per second, the other five times as many. The naive policy is FIFO.
void measure_worst_served()
{
    fakes::simulation simulation(seed);
    admission::fair_queue queue({200, 1'000'000});
    std::map<organisation_id, double> served;
    const std::function<void(const char*, std::int64_t)> ask =
        [&](const char* organisation, std::int64_t gap_us)
    {
        admission::waiting_request it;
        it.organisation = organisation_id(organisation);
        it.deadline = simulation.now() + milliseconds(2'000);
        it.cost = 100;
        queue.add(it, simulation.now());
        simulation.after(microseconds(gap_us), [&ask, organisation, gap_us]
                         { ask(organisation, gap_us); });
    };
    const std::function<void()> serve = [&]
    {
        queue.take_expired(simulation.now());
        if (const auto it = queue.take(simulation.now()))
        {
            ++served[it->organisation];
        }
        simulation.after(milliseconds(10), serve);
    };
    ask("small", 22'222);
    ask("large", 4'444);
    serve();
    simulation.run_until(time_point(seconds(60)));
    const double share = served[organisation_id("small")] / (45 * 60);
    print("worst-served organisation, share of its demand", share,
          100.0 / (45 + 225), "at least 0.95", share >= 0.95);
}

} // namespace

int main()
{
    for (const site& it : sites)
    {
        std::cout << "== " << it.name << ", seed " << seed << " ==\n"
                  << std::left << std::setw(58) << "measure" << std::right
                  << std::setw(12) << "cicadahub" << std::setw(12) << "naive"
                  << "  " << std::setw(22) << "target"
                  << "\n";
        measure_burst(it);
        measure_cold_start(it);
        measure_worst_served();
        measure_rates();
    }
    return 0;
}
