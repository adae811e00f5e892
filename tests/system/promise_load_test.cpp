#include "platform_fleet.hpp"

#include "core/refusal.hpp"
#include "simulation.hpp"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <map>
#include <random>
#include <sstream>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

constexpr std::size_t caller_count = 6;
constexpr milliseconds load_time{4'000};
constexpr milliseconds fault_gap{15};
/// Faults of servers for each change of a host's links.
constexpr std::size_t faults_per_cut = 8;

using fakes::link_state;

using status_by_request = std::map<std::string, unsigned>;

/// Faults of servers that make a promise of no execution untrue, or that make
/// a repeat tempting.
std::string draw_fault(std::mt19937_64& random)
{
    static const std::vector<std::string> faults{
        R"({"stale_refusals":2,"promised_status":503,"stale_id":""})",
        R"({"stale_refusals":2,"promised_status":503,"stale_id":"another"})",
        R"({"stale_refusals":2,"promised_status":421,"stale_id":""})",
        R"({"stale_refusals":2,"promised_status":429,"stale_id":"another"})",
        R"({"unproven_promises":2,"promised_status":503})",
        R"({"unproven_promises":2,"promised_status":429})",
        R"({"unproven_promises":2,"promised_status":408})",
        R"({"lose_answers":1})",
        R"({"break_streams":1})",
        R"({"unframed":true})",
        R"({"unframed":false})",
        R"({"shed_s":1})",
        R"({"shed_s":0})",
    };
    return faults[random() % faults.size()];
}

/// Sends requests that must run once until `is_over`; returns what came back.
status_by_request send_requests(const platform_fleet& fleet, std::size_t caller,
                                const std::atomic<bool>& is_over)
{
    status_by_request seen;
    for (std::size_t n = 0; !is_over; ++n)
    {
        const std::string id =
            "c" + std::to_string(caller) + "-" + std::to_string(n);
        const std::size_t daemon = (caller + n) % fleet.daemons.size();
        const bool is_stream = n % 2 == 0;
        seen[id] =
            is_stream
                ? fleet.stream(daemon, id, "m1", "key-of-trust", "/once/x")
                      .status
                : fleet.plain(daemon, id, http::verb::post, "/post/1").status;
    }
    return seen;
}

/// Lines of the daemons' logs that name a request.
std::string lines_of(const platform_fleet& fleet, const std::string& request)
{
    std::string found;
    for (const auto& it : fleet.daemons)
    {
        std::istringstream lines(it.program->output());
        for (std::string line; std::getline(lines, line);)
        {
            if (line.find('"' + request + '"') != std::string::npos)
            {
                found += line + "\n";
            }
        }
    }
    return found;
}

link_state draw_link_state(std::mt19937_64& random)
{
    // Most of the time most links are open.
    constexpr std::array states{link_state::open,  link_state::open,
                                link_state::open,  link_state::silent,
                                link_state::reset, link_state::refusing};
    return states[random() % states.size()];
}

struct load_case
{
    std::uint64_t seed;
    /// The links of each host are cut and healed meanwhile.
    bool has_cuts;
};

void PrintTo(const load_case& it, std::ostream* out)
{
    *out << (it.has_cuts ? "cuts_" : "") << "seed_" << it.seed;
}

class faulty_servers : public testing::TestWithParam<load_case>
{
};

// Guards against requests that run twice, and against refused requests that
// run, while servers give refusals of other requests, promises that they do not
// state, no answers and pauses, in any order and on connections of any history,
// and while hosts lose their links to them and forward requests for each other.
TEST_P(faulty_servers, never_make_a_promise_untrue)
{
    const platform_fleet fleet(GetParam().has_cuts ? 3 : 2,
                               GetParam().has_cuts);
    std::mt19937_64 random(GetParam().seed + fakes::seed_offset());
    std::vector<std::string> servers;
    for (const auto* group : {&fleet.engines, &fleet.services})
    {
        for (const auto& it : *group)
        {
            servers.push_back(it.address);
        }
    }
    std::atomic<bool> is_over = false;
    std::vector<status_by_request> seen(caller_count);
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (std::size_t n = 0; n < caller_count; ++n)
    {
        callers.emplace_back([&, n]
                             { seen[n] = send_requests(fleet, n, is_over); });
    }
    const time_point end = monotonic_clock::now() + load_time;
    while (monotonic_clock::now() < end)
    {
        fleet.set_fault(servers[random() % servers.size()], draw_fault(random));
        if (GetParam().has_cuts && random() % faults_per_cut == 0)
        {
            fleet.daemons[random() % fleet.daemons.size()].links->set_state(
                draw_link_state(random));
        }
        std::this_thread::sleep_for(fault_gap);
    }
    for (const auto& it : fleet.daemons)
    {
        if (it.links)
        {
            it.links->set_state(link_state::open);
        }
    }
    is_over = true;
    for (std::thread& it : callers)
    {
        it.join();
    }
    const auto runs = fleet.count_runs();
    std::size_t served = 0;
    std::size_t refused_and_run = 0;
    std::size_t run_twice = 0;
    for (const status_by_request& part : seen)
    {
        for (const auto& [id, status] : part)
        {
            const auto at = runs.find(id);
            const std::int64_t n = at == runs.end() ? 0 : at->second;
            served += status == 200 ? 1 : 0;
            const bool is_refused_and_run = n > 0 && promises_not_run(status);
            refused_and_run += is_refused_and_run ? 1 : 0;
            run_twice += n > 1 ? 1 : 0;
            if (is_refused_and_run || n > 1)
            {
                ADD_FAILURE()
                    << id << " ran " << n << " times, status " << status << "\n"
                    << lines_of(fleet, id);
            }
        }
    }
    EXPECT_EQ(refused_and_run, 0U);
    EXPECT_EQ(run_twice, 0U);
    EXPECT_GT(served, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, faulty_servers,
    testing::Values(load_case{1, false}, load_case{2, false},
                    load_case{3, false}, load_case{1, true}, load_case{2, true},
                    load_case{3, true}),
    [](const auto& it) { return testing::PrintToString(it.param); });

} // namespace
} // namespace cicadahub::system_tests
