#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

constexpr int hosts = 4;
/// configApplyMs of the deployments with most hosts.
constexpr milliseconds apply_limit{3'000};
constexpr unsigned not_found = 404;

struct freeze_case
{
    const char* name;
    std::size_t host;
};

void PrintTo(const freeze_case& it, std::ostream* out)
{
    *out << it.name;
}

class frozen_hosts : public testing::TestWithParam<freeze_case>
{
};

// Guards against hosts that serve by what they knew before they stood still,
// though the store has confirmed a change meanwhile.
TEST_P(frozen_hosts, serve_by_what_was_confirmed_meanwhile)
{
    constexpr int callers = 40;
    platform_fleet fleet(hosts);
    const auto& host = fleet.daemons[GetParam().host];
    host.program->pause();
    fleet.write_configuration(2, {"key-of-trust"}, {"/added/"});
    std::this_thread::sleep_for(apply_limit + milliseconds(200));
    std::atomic<int> by_an_older_one = 0;
    std::atomic<int> by_this_one = 0;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int n = 0; n < callers; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                const auto status =
                    fleet
                        .plain(GetParam().host, "waits-" + std::to_string(n),
                               http::verb::get, "/added/1")
                        .status;
                ++(status == not_found ? by_an_older_one : by_this_one);
            });
    }
    std::this_thread::sleep_for(milliseconds(300));
    host.program->resume();
    for (std::thread& it : threads)
    {
        it.join();
    }
    EXPECT_EQ(by_an_older_one, 0);
    EXPECT_GT(by_this_one, 0);
}

// The first two hosts by name watch the store for the others.
INSTANTIATE_TEST_SUITE_P(platform_path, frozen_hosts,
                         testing::Values(freeze_case{"a_watcher", 1},
                                         freeze_case{"another", 3}),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
