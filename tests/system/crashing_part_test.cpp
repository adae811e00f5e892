#include "restarted_engines.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

constexpr int daemon_count = 4;
constexpr std::size_t callers_per_daemon = 2;
constexpr milliseconds request_gap{50};
constexpr milliseconds crashing_request_gap{500};
/// Time from the fifth crash in which all hosts learn of it.
constexpr milliseconds contact_time{3'000};
constexpr std::size_t counted_crashes = 5;
/// Requests that may still reach servers after that.
constexpr std::size_t allowed_crashes = 3;
constexpr milliseconds measured_time{2'000};

struct sent_request
{
    time_point at;
    answer received;
};

/// Callers that send requests to hosts by turns until they are stopped.
class caller
{
public:
    caller(const platform_fleet& fleet, std::string name, std::string prompt,
           std::size_t first_host, std::size_t host_step, milliseconds gap)
        : m_thread(
              [=, this, &fleet]
              {
                  std::size_t host = first_host;
                  for (std::size_t n = 0; !m_is_over; ++n)
                  {
                      const std::string id = name + "-" + std::to_string(n);
                      const time_point at = monotonic_clock::now();
                      // Behind the shared parts each request has its own.
                      m_sent.push_back(
                          {at, fleet.stream_prompt(host, id, "m1",
                                                   prompt + "," + id + ":10")});
                      host = (host + host_step) % fleet.daemons.size();
                      std::this_thread::sleep_until(at + gap);
                  }
              })
    {
    }

    const std::vector<sent_request>& stop()
    {
        m_is_over = true;
        if (m_thread.joinable())
        {
            m_thread.join();
        }
        return m_sent;
    }

    ~caller() { stop(); }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

private:
    std::vector<sent_request> m_sent;
    std::atomic<bool> m_is_over = false;
    std::thread m_thread;
};

std::vector<std::unique_ptr<caller>> make_callers(const platform_fleet& fleet)
{
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t n = 0; n < daemon_count * callers_per_daemon; ++n)
    {
        callers.push_back(std::make_unique<caller>(
            fleet, "sound" + std::to_string(n), "shared:10",
            n % fleet.daemons.size(), 0, request_gap));
    }
    return callers;
}

/// What happens beside the crashes.
enum class trouble
{
    none,
    /// All hosts start again, one after the other.
    hosts_restart,
    /// One host is stopped while servers crash, and goes on afterwards.
    host_frozen,
    /// One host reaches no server while servers crash, and does afterwards.
    host_cut_off,
    /// A third of the servers end at once, several times.
    third_of_servers_lost,
};

struct part_case
{
    const char* name;
    const char* faults;
    trouble beside = trouble::none;
};

void PrintTo(const part_case& it, std::ostream* out)
{
    *out << it.name;
}

class crashing_parts : public testing::TestWithParam<part_case>
{
protected:
    /// Host that is frozen or cut off.
    static constexpr std::size_t troubled_host = 1;

    static bool is_host_troubled()
    {
        return GetParam().beside == trouble::host_frozen ||
               GetParam().beside == trouble::host_cut_off;
    }

    static void begin_trouble(platform_fleet& fleet)
    {
        auto& host = fleet.daemons[troubled_host];
        if (GetParam().beside == trouble::host_frozen)
        {
            host.program->pause();
        }
        if (GetParam().beside == trouble::host_cut_off)
        {
            host.links->set_state(fakes::link_state::reset);
        }
    }

    static void end_trouble(platform_fleet& fleet, restarted_engines& engines)
    {
        auto& host = fleet.daemons[troubled_host];
        switch (GetParam().beside)
        {
        case trouble::none:
            break;
        case trouble::hosts_restart:
            for (std::size_t n = 0; n < daemon_count; ++n)
            {
                fleet.start_daemon(n);
                EXPECT_TRUE(eventually([&] { return fleet.is_ready(n); }));
            }
            break;
        case trouble::host_frozen:
            host.program->resume();
            break;
        case trouble::host_cut_off:
            host.links->set_state(fakes::link_state::open);
            break;
        case trouble::third_of_servers_lost:
            engines.kill_a_third();
            break;
        }
    }
};

// Guards against a part of prompts that crashes one server after the other,
// because the requests that bear it have nothing else in common.
TEST_P(crashing_parts, are_refused_after_a_few_crashes)
{
    const trouble beside = GetParam().beside;
    platform_fleet fleet(daemon_count, beside == trouble::host_cut_off);
    restarted_engines engines(fleet, GetParam().faults);
    auto sound = make_callers(fleet);
    const std::string prompt = "shared:10,crashing:10";
    // A host that is stopped would hold the caller.
    caller crashing(fleet, "crashing", prompt, 0, is_host_troubled() ? 2 : 1,
                    crashing_request_gap);
    begin_trouble(fleet);
    ASSERT_TRUE(eventually(
        [&] { return engines.crashes().size() >= counted_crashes; }));
    const time_point fifth = engines.crashes()[counted_crashes - 1];
    std::this_thread::sleep_until(fifth + contact_time);
    const std::size_t before = engines.own_crashes();
    end_trouble(fleet, engines);
    std::optional<caller> more;
    if (is_host_troubled())
    {
        more.emplace(fleet, "more", prompt, troubled_host, 0,
                     crashing_request_gap);
    }
    std::this_thread::sleep_until(fifth + 2 * contact_time);
    const time_point begin = monotonic_clock::now();
    std::this_thread::sleep_for(measured_time);
    const std::size_t after = engines.own_crashes();
    crashing.stop();
    more.reset();
    std::size_t served = 0;
    std::size_t sent = 0;
    for (const auto& from : sound)
    {
        for (const sent_request& it : from->stop())
        {
            EXPECT_NE(it.received.status, 422U);
            sent += it.at >= begin ? 1 : 0;
            served += it.at >= begin && it.received.status == 200 ? 1 : 0;
        }
    }
    EXPECT_LE(after - before, allowed_crashes) << after << " in all";
    EXPECT_GT(sent, 0U);
    EXPECT_GE(served, sent / 2) << served << " of " << sent;
    std::cout << "crashes " << before << " and then " << after - before
              << ", served " << served << " of " << sent << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, crashing_parts,
    testing::Values(part_case{"chunked", R"({"crash_part":"crashing"})"},
                    part_case{"until_close",
                              R"({"crash_part":"crashing","unframed":true})"},
                    part_case{"hosts_restart", R"({"crash_part":"crashing"})",
                              trouble::hosts_restart},
                    part_case{"host_frozen", R"({"crash_part":"crashing"})",
                              trouble::host_frozen},
                    part_case{"host_cut_off", R"({"crash_part":"crashing"})",
                              trouble::host_cut_off},
                    part_case{"third_of_servers_lost",
                              R"({"crash_part":"crashing"})",
                              trouble::third_of_servers_lost}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against sound parts that are refused because servers crash by
// themselves.
TEST(platform_path, crashes_by_chance_refuse_no_request)
{
    platform_fleet fleet(daemon_count);
    restarted_engines engines(fleet, "{}");
    auto sound = make_callers(fleet);
    // A part that is seldom used, and two that each request has.
    sound.push_back(std::make_unique<caller>(
        fleet, "seldom", "shared:10,seldom:10", 0, 1, milliseconds(400)));
    for (std::size_t n = 0; n < 12; ++n)
    {
        std::this_thread::sleep_for(milliseconds(400));
        if (n % 4 == 3)
        {
            engines.kill_a_third();
        }
        else
        {
            engines.kill(0);
            engines.kill(1);
        }
        std::this_thread::sleep_for(2 * restarted_engines::poll_period);
    }
    std::size_t served = 0;
    for (const auto& from : sound)
    {
        for (const sent_request& it : from->stop())
        {
            EXPECT_NE(it.received.status, 422U);
            served += it.received.status == 200 ? 1 : 0;
        }
    }
    EXPECT_GT(engines.crashes().size(), counted_crashes);
    EXPECT_GT(served, 0U);
}

} // namespace
} // namespace cicadahub::system_tests
