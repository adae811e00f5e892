#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <future>
#include <regex>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

/// Output of `cicadactl explain` on the daemon's log; empty if it fails.
std::string explanation(const platform_fleet& fleet, const std::string& request)
{
    const std::string file = make_folder() + "/logs";
    std::ofstream(file) << fleet.daemons[0].program->output();
    process it("utilities/cicadactl", {"explain", request, file});
    return it.wait() == 0 ? it.output() : std::string();
}

bool is_explained_by(const platform_fleet& fleet, const std::string& request,
                     const std::string& line)
{
    return eventually(
        [&]
        { return explanation(fleet, request).find(line) != std::string::npos; },
        milliseconds(5'000));
}

void expect_no_line(const platform_fleet& fleet, const std::string& request,
                    const std::string& name)
{
    EXPECT_TRUE(is_explained_by(fleet, request, "request_answered"));
    EXPECT_EQ(explanation(fleet, request).find(name), std::string::npos);
}

/// Sends a request that ends before the event. Lines of the log have whole
/// milliseconds.
void send_before(const platform_fleet& fleet)
{
    constexpr milliseconds log_resolution{1};
    fleet.plain(0, "before", http::verb::get, "/read/1");
    std::this_thread::sleep_for(2 * log_resolution);
}

// Events of a server or of the store name no request. Those of other times, or
// of servers that the request was not sent to, don't belong to it.
TEST(explained_events, a_leaving_server)
{
    platform_fleet fleet(1);
    send_before(fleet);
    fleet.set_fault(fleet.services[0].address, R"({"leaving":true})");
    fleet.set_fault(fleet.services[1].address, R"({"leaving":true})");
    fleet.plain(0, "r", http::verb::get, "/read/1");
    EXPECT_TRUE(is_explained_by(fleet, "r", "server_leaving server=l"));
    expect_no_line(fleet, "before", "server_leaving");
}

TEST(explained_events, a_pause_that_an_order_was_answered_with)
{
    platform_fleet fleet(1);
    fleet.stream(0, "before", "m1/a2");
    fleet.set_fault(fleet.engines[0].address,
                    R"({"shed_s":2,"shed_placement":true})");
    auto waiting = std::async(std::launch::async,
                              [&] { return fleet.stream(0, "r", "m1/a1"); });
    std::this_thread::sleep_for(milliseconds(100));
    fleet.plain(0, "of_another_service", http::verb::get, "/read/1");
    EXPECT_EQ(waiting.get().status, 200U);
    EXPECT_TRUE(
        is_explained_by(fleet, "r", "server_paused server=e1 seen_in=order"));
    expect_no_line(fleet, "before", "server_paused");
    expect_no_line(fleet, "of_another_service", "server_paused");
}

TEST(explained_events, a_host_that_is_cut_off)
{
    platform_fleet fleet(2, true);
    send_before(fleet);
    fleet.daemons[0].links->set_state(fakes::link_state::reset);
    fleet.plain(0, "r", http::verb::get, "/read/1");
    EXPECT_TRUE(is_explained_by(fleet, "r", "host_cut_off"));
    expect_no_line(fleet, "before", "host_cut_off");
}

TEST(explained_events, a_brittle_server)
{
    platform_fleet fleet(1);
    send_before(fleet);
    for (const auto& it : fleet.services)
    {
        fleet.set_fault(it.address, R"({"brittle":3})");
    }
    fleet.plain(0, "r", http::verb::get, "/read/1");
    EXPECT_TRUE(is_explained_by(fleet, "r", "service_brittle"));
    expect_no_line(fleet, "before", "service_brittle");
}

// Without the lease, no adapter is loaded.
TEST(explained_events, a_restored_store)
{
    platform_fleet fleet(1);
    send_before(fleet);
    fleet.set_fault(fleet.store, R"({"keep_copy":true})");
    auto waiting = std::async(std::launch::async,
                              [&] { return fleet.stream(0, "r", "m1/a1"); });
    std::this_thread::sleep_for(milliseconds(100));
    fleet.set_fault(fleet.store, R"({"restore":true})");
    waiting.get();
    EXPECT_TRUE(is_explained_by(fleet, "r", "store_restored era=2"));
    expect_no_line(fleet, "before", "store_restored");
}

struct event_time_case
{
    const char* name;
    /// Of an event of a server that the request was sent to. The request ends
    /// at .200400, 5 ms after it came.
    std::string time;
    bool is_shown;
};

void PrintTo(const event_time_case& it, std::ostream* out)
{
    *out << it.name;
}

class event_times : public testing::TestWithParam<event_time_case>
{
};

// Guards against events that came after the end of a request, but within its
// last millisecond.
TEST_P(event_times, decide_whether_a_request_is_explained)
{
    const std::string day = R"({"time":"2026-12-05T01:02:03)";
    const std::string file = make_folder() + "/logs";
    std::ofstream(file)
        << day << R"(.200400","event":1,"name":"request_answered",)"
        << R"("daemon":"d","request":"r","server":"e1","took_ms":5})"
        << "\n"
        << day << GetParam().time
        << R"(","event":2,"name":"server_paused","daemon":"d","server":"e1"})"
        << "\n";
    process it("utilities/cicadactl", {"explain", "r", file});
    EXPECT_EQ(it.wait(), 0);
    const bool is_shown =
        it.output().find("server_paused") != std::string::npos;
    EXPECT_EQ(is_shown, GetParam().is_shown) << it.output();
}

INSTANTIATE_TEST_SUITE_P(
    explain, event_times,
    testing::Values(event_time_case{"before", ".195300", false},
                    event_time_case{"within", ".195900", true},
                    event_time_case{"right_before_its_end", ".200390", true},
                    event_time_case{"right_after_its_end", ".200450", false},
                    event_time_case{"within_in_milliseconds", ".198", true}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against lines whose order can't be told from their times.
TEST(explained_events, have_times_of_microseconds)
{
    platform_fleet fleet(1);
    fleet.plain(0, "r", http::verb::get, "/read/1");
    const std::regex time(R"("time":"[-0-9]+T[:0-9]+\.[0-9]{6}")");
    EXPECT_TRUE(eventually(
        [&]
        {
            const std::string log = fleet.daemons[0].program->output();
            return log.find("request_answered") != std::string::npos &&
                   std::regex_search(log, time);
        }));
}

} // namespace
} // namespace cicadahub::system_tests
