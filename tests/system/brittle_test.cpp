#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

constexpr int daemon_count = 6;
constexpr std::size_t callers_per_daemon = 4;
constexpr milliseconds load_time{4'000};
constexpr milliseconds request_gap{10};
/// Time in which all hosts learn that servers are brittle.
constexpr milliseconds contact_time{1'000};

struct brittle_case
{
    const char* name;
    int limit;
};

void PrintTo(const brittle_case& it, std::ostream* out)
{
    *out << it.name;
}

class brittle_servers : public testing::TestWithParam<brittle_case>
{
};

// Guards against servers that fail because all hosts together send them more
// than they have room for, though each host sends little.
TEST_P(brittle_servers, are_not_made_to_fail)
{
    platform_fleet fleet(daemon_count);
    const std::string limit = std::to_string(GetParam().limit);
    std::atomic<bool> is_over = false;
    std::atomic<std::size_t> served = 0;
    std::atomic<std::size_t> sent = 0;
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < daemon_count * callers_per_daemon; ++n)
    {
        callers.emplace_back(
            [&, n]
            {
                for (std::size_t k = 0; !is_over; ++k)
                {
                    const std::string id =
                        "c" + std::to_string(n) + "-" + std::to_string(k);
                    const unsigned status =
                        fleet
                            .plain(n % daemon_count, id, http::verb::post,
                                   "/post/1")
                            .status;
                    ++sent;
                    served += status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(request_gap);
                }
            });
    }
    for (const auto& it : fleet.services)
    {
        fleet.set_fault(it.address, R"({"brittle":)" + limit + "}");
    }
    std::this_thread::sleep_for(contact_time);
    for (const auto& it : fleet.services)
    {
        fleet.set_fault(it.address, R"({"room":2})");
    }
    std::this_thread::sleep_for(load_time);
    is_over = true;
    for (std::thread& it : callers)
    {
        it.join();
    }
    std::int64_t falls = 0;
    for (const auto& it : fleet.services)
    {
        falls += read_stat(it.address, "falls");
    }
    RecordProperty("served", static_cast<int>(served));
    EXPECT_EQ(falls, 0) << served << " of " << sent << " served";
    // Requests that there is room for are still served.
    EXPECT_GT(served.load(), 100U);
    std::cout << "served " << served << " of " << sent << "\n";
}

INSTANTIATE_TEST_SUITE_P(platform_path, brittle_servers,
                         testing::Values(brittle_case{"one_each", 8},
                                         brittle_case{"fewer_than_hosts", 3}),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
