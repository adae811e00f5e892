#include "stream_calls.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

constexpr std::size_t hosts = 6;
constexpr std::size_t streams = 12;
constexpr milliseconds slow_gap{300};
constexpr milliseconds short_gap{60};
/// Longer than hosts need to learn a configuration and to record in the store
/// that a stream has begun.
constexpr milliseconds long_enough{1'000};

/// Another engine of the first service, and two of another service and version.
void add_engines(platform_fleet& fleet)
{
    for (const auto& [service, id, version] :
         {std::tuple{"engines", "e3", "v1"},
          {"more-engines", "x1", "v2"},
          {"more-engines", "x2", "v2"}})
    {
        fleet.add_worker(service, id,
                         {"--megabytes", "250", "--preload", "m1",
                          "--software-version", version});
    }
    // All hosts have read that the route leads to one service only.
    std::this_thread::sleep_for(seconds(5));
    set_pace(fleet.engines, slow_gap);
}

struct reroute_case
{
    const char* name;
    /// Routes of streams by the new configuration.
    std::vector<stream_route> after;
    /// From the new configuration to the loss of hosts.
    milliseconds delay;
    /// The first hosts are lost; the first one serves the streams.
    std::size_t lost;
    bool are_restarted;
    /// Least share of the streams taken up that go on.
    double least_share;
};

void PrintTo(const reroute_case& it, std::ostream* out)
{
    *out << it.name;
}

class rerouted_streams : public testing::TestWithParam<reroute_case>
{
protected:
    rerouted_streams() { add_engines(fleet); }

    void begin_streams()
    {
        for (std::size_t n = 0; n < streams; ++n)
        {
            begun.push_back(
                std::async(std::launch::async,
                           [this, n] {
                               return ask_stream(
                                   fleet, 0, {"s" + std::to_string(n), {}, {}});
                           }));
        }
        EXPECT_TRUE(eventually(
            [&] { return fleet.engine_total("running") == streams; }));
        std::this_thread::sleep_for(2 * slow_gap);
    }

    void lose_hosts(const reroute_case& it)
    {
        for (std::size_t n = 0; n < it.lost; ++n)
        {
            fleet.daemons[n].program->kill();
        }
        for (std::size_t n = 0; n < it.lost && it.are_restarted; ++n)
        {
            fleet.start_daemon(n);
        }
        for (std::size_t n = 0; n < it.lost && it.are_restarted; ++n)
        {
            EXPECT_TRUE(eventually([&] { return fleet.is_ready(n); }));
        }
    }

    platform_fleet fleet{hosts};
    std::vector<std::future<raw_answer>> begun;
};

// Guards against streams that are refused, or go on at a service that never
// began them, since their route has been split or moved meanwhile.
TEST_P(rerouted_streams, go_on_only_at_the_service_that_began_them)
{
    const reroute_case& it = GetParam();
    begin_streams();
    fleet.write_configuration(2, {"key-of-trust"}, {}, it.after);
    std::this_thread::sleep_for(it.delay);
    lose_hosts(it);
    set_pace(fleet.engines, short_gap);
    const std::size_t first_host = it.are_restarted ? 0 : it.lost;
    std::size_t taken_up = 0;
    std::size_t gone_on = 0;
    for (std::size_t n = 0; n < streams; ++n)
    {
        const raw_answer first = begun[n].get();
        const std::size_t events =
            count_occurrences(first.bytes, "data: piece");
        if (is_whole(first) || events == 0)
        {
            continue;
        }
        ++taken_up;
        const raw_answer rest =
            ask_stream(fleet, first_host + n % (hosts - first_host),
                       {"t" + std::to_string(n), "s" + std::to_string(n),
                        std::to_string(events)});
        EXPECT_FALSE(has_new(rest)) << rest.bytes;
        gone_on += rest.status() == 200 && is_whole(rest) ? 1 : 0;
        if (rest.status() != 200)
        {
            EXPECT_EQ(rest.status(), 503U) << rest.bytes;
            EXPECT_NE(rest.bytes.find("not_run"), std::string::npos);
        }
    }
    std::cout << gone_on << " of " << taken_up << " went on\n";
    EXPECT_GE(taken_up, streams / 2);
    EXPECT_GE(static_cast<double>(gone_on),
              it.least_share * static_cast<double>(taken_up));
}

using stream_routes = std::vector<stream_route>;
const shares one{{"engines", 1}};
const shares both{{"engines", 90}, {"more-engines", 10}};
const shares other{{"more-engines", 1}};
const stream_routes split{{both}};
const stream_routes moved{{other}};
const stream_routes split_and_not_resumable{
    {both, "stream", "/stream/", false}};
const stream_routes moved_and_not_resumable{
    {other, "stream", "/stream/", false}};
/// Behind these the path of the streams has a route of another name.
const stream_routes added{{}, {one, "long", "/stream/x"}};
const stream_routes added_to_split{{both}, {one, "long", "/stream/x"}};
const stream_routes added_and_moved{{}, {other, "long", "/stream/x"}};
const stream_routes renamed{{one, "renamed"}};
const stream_routes split_and_renamed{{both, "renamed"}};
const stream_routes name_taken{{both, "renamed"}, {other, "stream", "/other/"}};
const stream_routes split_and_public{{both, "stream", "/stream/", true, true}};

INSTANTIATE_TEST_SUITE_P(
    rerouted_streams, rerouted_streams,
    testing::Values(
        reroute_case{"split", split, long_enough, 1, false, 0.9},
        reroute_case{"split_and_two_hosts_lost", split, long_enough, 2, false,
                     0.9},
        reroute_case{"split_and_all_hosts_restarted", split, long_enough, hosts,
                     true, 0.5},
        reroute_case{"split_and_all_hosts_restarted_at_once", split,
                     milliseconds(0), hosts, true, 0.5},
        reroute_case{"split_and_host_lost_at_once", split, milliseconds(0), 1,
                     false, 0.9},
        reroute_case{"split_and_no_longer_resumable", split_and_not_resumable,
                     long_enough, 1, false, 0.9},
        // A request runs only at services to which the configuration leads.
        reroute_case{"moved", moved, long_enough, 1, false, 0},
        reroute_case{"moved_and_no_longer_resumable", moved_and_not_resumable,
                     long_enough, 1, false, 0},
        reroute_case{"moved_and_host_lost_at_once", moved, milliseconds(0), 1,
                     false, 0},
        reroute_case{"moved_and_all_hosts_restarted", moved, long_enough, hosts,
                     true, 0}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against streams that are refused since their path belongs to a route
// of another name than the one under which they began (review/9).
INSTANTIATE_TEST_SUITE_P(
    renamed_routes, rerouted_streams,
    testing::Values(
        reroute_case{"added", added, long_enough, 1, false, 0.9},
        reroute_case{"added_and_most_hosts_lost", added, long_enough, hosts - 1,
                     false, 0.9},
        reroute_case{"added_and_all_hosts_restarted", added, long_enough, hosts,
                     true, 0.5},
        reroute_case{"added_and_moved", added_and_moved, long_enough, 1, false,
                     0},
        reroute_case{"added_to_split", added_to_split, long_enough, 1, false,
                     0.9},
        reroute_case{"added_to_split_and_host_lost_at_once", added_to_split,
                     milliseconds(0), 1, false, 0.9},
        reroute_case{"renamed", renamed, long_enough, 1, false, 0.9},
        reroute_case{"renamed_and_most_hosts_lost", renamed, long_enough,
                     hosts - 1, false, 0.9},
        reroute_case{"split_and_renamed", split_and_renamed, long_enough, 1,
                     false, 0.9},
        reroute_case{"name_taken", name_taken, long_enough, 1, false, 0.9},
        reroute_case{"split_and_public", split_and_public, long_enough, 1,
                     false, 0.9}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against streams that go on at the service to which their route led
// before, taken up at a host that stood still while it was moved.
TEST(rerouted_stream, are_not_joined_by_a_host_that_missed_the_configuration)
{
    constexpr std::size_t frozen_from = 3;
    platform_fleet fleet(hosts);
    add_engines(fleet);
    for (std::size_t n = frozen_from; n < hosts; ++n)
    {
        fleet.daemons[n].program->pause();
    }
    fleet.write_configuration(2, {"key-of-trust"}, {}, moved);
    std::this_thread::sleep_for(long_enough);
    std::vector<std::future<raw_answer>> begun;
    for (std::size_t n = 0; n < streams; ++n)
    {
        begun.push_back(std::async(
            std::launch::async,
            [&fleet, n] {
                return ask_stream(fleet, 0, {"s" + std::to_string(n), {}, {}});
            }));
    }
    std::this_thread::sleep_for(3 * slow_gap);
    fleet.daemons[0].program->kill();
    std::vector<raw_answer> first;
    std::vector<std::future<raw_answer>> rest;
    for (std::size_t n = 0; n < streams; ++n)
    {
        first.push_back(begun[n].get());
        const std::size_t host = frozen_from + n % (hosts - frozen_from);
        const stream_call again{
            "t" + std::to_string(n), "s" + std::to_string(n),
            std::to_string(count_occurrences(first[n].bytes, "data: piece"))};
        rest.push_back(std::async(std::launch::async, [&fleet, host, again]
                                  { return ask_stream(fleet, host, again); }));
    }
    // The requests have arrived before the hosts go on.
    std::this_thread::sleep_for(milliseconds(200));
    for (std::size_t n = frozen_from; n < hosts; ++n)
    {
        fleet.daemons[n].program->resume();
    }
    std::size_t of_new_service = 0;
    for (std::size_t n = 0; n < streams; ++n)
    {
        const raw_answer got = rest[n].get();
        of_new_service += has_new(first[n]) ? 1 : 0;
        EXPECT_FALSE(has_new(first[n]) && has_old(got)) << got.bytes;
        EXPECT_TRUE(got.status() == 200 || got.status() == 503) << got.bytes;
    }
    EXPECT_GE(of_new_service, streams / 2);
}

} // namespace
} // namespace cicadahub::system_tests
