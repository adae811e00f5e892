#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

constexpr std::size_t hosts = 6;
constexpr std::size_t callers_per_host = 4;
constexpr milliseconds request_gap{50};
constexpr milliseconds warm_up{1'500};
constexpr milliseconds cold_time{6'000};
/// Half as much more than the rate of 4 a second, and five requests.
constexpr std::int64_t allowed_in_second = 11;

enum class trouble
{
    none,
    one_host_restarts,
    all_hosts_killed,
};

struct cold_case
{
    const char* name;
    trouble beside;
};

void PrintTo(const cold_case& it, std::ostream* out)
{
    *out << it.name;
}

/// Callers at all hosts that send until the object is destroyed.
class load
{
public:
    explicit load(const platform_fleet& fleet)
    {
        for (std::size_t n = 0; n < hosts * callers_per_host; ++n)
        {
            m_callers.emplace_back([this, &fleet, n] { run(fleet, n); });
        }
    }

    ~load()
    {
        m_is_over = true;
        for (std::thread& it : m_callers)
        {
            it.join();
        }
    }

    load(const load&) = delete;
    load& operator=(const load&) = delete;

    std::atomic<std::size_t> served = 0;

private:
    void run(const platform_fleet& fleet, std::size_t n)
    {
        for (std::size_t k = 0; !m_is_over; ++k)
        {
            const time_point at = monotonic_clock::now();
            const std::string id =
                "c" + std::to_string(n) + "-" + std::to_string(k);
            const answer got =
                fleet.plain(n % hosts, id, http::verb::post, "/post/1");
            served += got.status == 200 ? 1 : 0;
            std::this_thread::sleep_until(at + request_gap);
        }
    }

    std::atomic<bool> m_is_over = false;
    std::vector<std::thread> m_callers;
};

class cold_servers : public testing::TestWithParam<cold_case>
{
protected:
    static void make_trouble(platform_fleet& fleet)
    {
        if (GetParam().beside == trouble::one_host_restarts)
        {
            fleet.start_daemon(0);
        }
        if (GetParam().beside != trouble::all_hosts_killed)
        {
            return;
        }
        for (auto& it : fleet.daemons)
        {
            it.program->kill();
        }
        for (std::size_t n = 0; n < hosts; ++n)
        {
            fleet.start_daemon(n);
        }
    }
};

// Guards against a server that starts amid traffic and gets as many requests as
// a warm one, from hosts that restart meanwhile too. Its entry says 0, as the
// stand-in's do.
TEST_P(cold_servers, get_no_more_than_they_take)
{
    platform_fleet::additions added;
    added.service = {{"coldStartS", 6.0}, {"coldPerS", 4.0}};
    platform_fleet fleet(hosts, false, std::move(added));
    load running(fleet);
    std::this_thread::sleep_for(warm_up);
    fleet.restart_service(0);
    const time_point restarted = monotonic_clock::now();
    std::this_thread::sleep_for(milliseconds(500));
    make_trouble(fleet);
    std::this_thread::sleep_until(restarted + cold_time - milliseconds(500));
    const std::string& address = fleet.services[0].address;
    const std::int64_t most = read_stat(address, "most_arrivals_in_second");
    EXPECT_LE(most, allowed_in_second);
    std::cout << "most in a second " << most << ", arrivals "
              << read_stat(address, "arrivals") << ", served " << running.served
              << "\n";
    // It is used like the other one afterwards.
    EXPECT_TRUE(eventually(
        [&] {
            return read_stat(address, "most_arrivals_in_second") >
                   allowed_in_second;
        }));
    EXPECT_GT(running.served, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, cold_servers,
    testing::Values(cold_case{"undisturbed", trouble::none},
                    cold_case{"one_host_restarts", trouble::one_host_restarts},
                    cold_case{"all_hosts_killed", trouble::all_hosts_killed}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
