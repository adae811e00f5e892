#include "doubling_server.hpp"
#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

/// Model that only the first engine holds, and one of its adapters, which needs
/// an order to that engine.
constexpr const char* model = "m1";
constexpr const char* adapter = "m1/a1";
/// Its load shows that the daemon orders and has read the servers' reports.
constexpr const char* other_adapter = "m1/a2";
/// A pause counts as kept if nothing arrives later than 0.5 s after it was
/// asked for.
constexpr milliseconds pause_grace{600};

bool has_logged(const platform_fleet& fleet, const std::string& event,
                const std::string& field)
{
    const std::string output = fleet.daemons[0].program->output();
    const std::string name = R"("name":")" + event + '"';
    for (std::size_t at = output.find(name); at != std::string::npos;
         at = output.find(name, at + name.size()))
    {
        const std::size_t end = output.find('\n', at);
        if (output.substr(at, end - at).find(field) != std::string::npos)
        {
            return true;
        }
    }
    return false;
}

/// The daemon forgets what it knew of the servers and asks them for reports.
void restart_daemon(platform_fleet& fleet)
{
    fleet.daemons[0].program->kill();
    fleet.daemons[0].program->wait();
    fleet.start_daemon(0);
    EXPECT_TRUE(eventually([&] { return fleet.is_ready(0); }));
}

// The pause is asked for by the response to a request; an adapter that has to
// be loaded would send an order at once.
TEST(notices, orders_keep_to_a_pause_that_a_request_was_answered_with)
{
    platform_fleet fleet(1);
    const std::string paused = fleet.engines[0].address;
    fleet.set_fault(paused, R"({"shed_s":2})");
    auto first = std::async(std::launch::async,
                            [&] { return fleet.stream(0, "first", model); });
    std::this_thread::sleep_for(pause_grace);
    EXPECT_EQ(fleet.stream(0, "next", adapter).status, 200U);
    EXPECT_EQ(first.get().status, 200U);
    EXPECT_EQ(read_stat(paused, "arrivals_in_pause"), 0);
    EXPECT_FALSE(has_logged(fleet, "server_unreachable", ""));
    EXPECT_FALSE(has_logged(fleet, "order_answered", R"("answer":"unknown")"));
}

TEST(notices, a_pause_that_an_order_was_answered_with_is_kept)
{
    platform_fleet fleet(1);
    const std::string paused = fleet.engines[0].address;
    EXPECT_EQ(fleet.stream(0, "warm", other_adapter).status, 200U);
    fleet.set_fault(paused, R"({"shed_s":2,"shed_placement":true})");
    EXPECT_EQ(fleet.stream(0, "r", adapter).status, 200U);
    EXPECT_EQ(read_stat(paused, "arrivals_in_pause"), 0);
    EXPECT_TRUE(has_logged(fleet, "server_paused", R"("seen_in":"order")"));
}

TEST(notices, a_pause_that_a_report_was_answered_with_is_kept)
{
    platform_fleet fleet(1);
    const std::string paused = fleet.engines[0].address;
    restart_daemon(fleet);
    fleet.set_fault(paused, R"({"shed_s":2,"shed_placement":true})");
    EXPECT_TRUE(eventually(
        [&]
        { return has_logged(fleet, "server_paused", R"("seen_in":"report")"); },
        milliseconds(8'000)));
    EXPECT_EQ(fleet.stream(0, "r", adapter).status, 200U);
    EXPECT_EQ(read_stat(paused, "arrivals_in_pause"), 0);
    EXPECT_FALSE(has_logged(fleet, "server_unreachable", ""));
}

TEST(notices, a_leave_that_an_order_was_answered_with_is_believed)
{
    platform_fleet fleet(1);
    const std::string leaving = fleet.engines[0].address;
    EXPECT_EQ(fleet.stream(0, "warm", other_adapter).status, 200U);
    const std::int64_t before = read_stat(leaving, "runs");
    fleet.set_fault(leaving, R"({"leaving":true})");
    EXPECT_EQ(fleet.stream(0, "r", adapter).status, 200U);
    EXPECT_EQ(read_stat(leaving, "runs"), before);
    EXPECT_TRUE(has_logged(fleet, "server_leaving", R"("seen_in":"order")"));
}

TEST(notices, a_leave_that_a_report_was_answered_with_is_believed)
{
    platform_fleet fleet(1);
    const std::string leaving = fleet.engines[0].address;
    fleet.set_fault(leaving, R"({"leaving":true})");
    restart_daemon(fleet);
    EXPECT_TRUE(eventually(
        [&] {
            return has_logged(fleet, "server_leaving", R"("seen_in":"report")");
        },
        milliseconds(8'000)));
    EXPECT_EQ(fleet.stream(0, "r", model).status, 200U);
    EXPECT_EQ(read_stat(leaving, "runs"), 0);
}

/// Adds a server to the store's list.
void register_engine(const platform_fleet& fleet, const std::string& id,
                     const std::string& address)
{
    const boost::json::object spec{{"service", "engines"},
                                   {"address", address},
                                   {"zone", "dc-1"},
                                   {"version", "v1"},
                                   {"slots", 8},
                                   {"state", "ready"},
                                   {"coldLeftMs", 0},
                                   {"born", 1'700'000'000'000},
                                   {"seq", 1},
                                   {"models", boost::json::array()}};
    const boost::json::object object{{"metadata", {{"name", id}}},
                                     {"spec", spec}};
    EXPECT_EQ(call(fleet.store, http::verb::post, "/v1/objects/servers",
                   boost::json::serialize(object))
                  .status,
              201U);
}

// Answers to orders and reports name no request. A late second response to a
// report must not be taken for the answer to an order: the daemon would wait
// for a load that the server never began, and order nothing there again.
TEST(placement_answers, a_late_response_to_a_report_accepts_no_order)
{
    platform_fleet fleet(1);
    for (const auto& it : fleet.engines)
    {
        fleet.set_fault(it.address, R"({"draining":true})");
    }
    const std::string address = free_address();
    const fakes::doubling_server server(http::parse_endpoint(address));
    register_engine(fleet, "e9", address);
    EXPECT_TRUE(eventually([&] { return server.orders() >= 2; }));
}

} // namespace
} // namespace cicadahub::system_tests
