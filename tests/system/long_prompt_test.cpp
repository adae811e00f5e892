#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <future>

namespace cicadahub::system_tests
{
namespace
{

constexpr int daemon_count = 3;
constexpr int tokens_per_ms = 25;

struct pace_case
{
    const char* name;
    int pace;
    bool is_host_lost;
};

void PrintTo(const pace_case& it, std::ostream* out)
{
    *out << it.name;
}

class long_prompts : public testing::TestWithParam<pace_case>
{
protected:
    std::future<answer> ask(std::size_t n, const std::string& id, int tokens)
    {
        return std::async(
            std::launch::async,
            [this, n, id, tokens]
            {
                return call(m_fleet.daemons[n].callers, http::verb::post,
                            "/stream/x", id,
                            {{"Host", "trust.example"},
                             {"Request-Id", id},
                             {"Authorization", "Bearer key-of-trust"},
                             {"Model", "m1"},
                             {"Token-Count", std::to_string(tokens) + ",16"},
                             {"Deadline-Ms", "8000"}});
            });
    }

    std::string metrics(std::size_t n) const
    {
        return call(m_fleet.daemons[n].readiness, http::verb::get, "/metrics")
            .body;
    }

    platform_fleet m_fleet{daemon_count};
};

// Guards against requests that are refused or forgotten while prompts are
// counted, against prompts that stay counted, also if a host that sent some is
// lost, and against a change where servers state no pace.
TEST_P(long_prompts, are_served_beside_short_ones)
{
    for (const auto& it : m_fleet.engines)
    {
        m_fleet.set_fault(it.address, R"({"pace":)" +
                                          std::to_string(GetParam().pace) +
                                          R"(,"tokens_per_ms":)" +
                                          std::to_string(tokens_per_ms) + "}");
    }
    // The reading rate is learned from a few first events.
    for (int n = 0; n < 5 * daemon_count; ++n)
    {
        EXPECT_EQ(ask(static_cast<std::size_t>(n % daemon_count),
                      "first" + std::to_string(n), 500)
                      .get()
                      .status,
                  200U);
    }
    std::vector<std::future<answer>> answers;
    std::vector<std::future<answer>> lost;
    for (int n = 0; n < 9; ++n)
    {
        auto& to =
            GetParam().is_host_lost && n % daemon_count == 2 ? lost : answers;
        const auto host = static_cast<std::size_t>(n % daemon_count);
        to.push_back(ask(host, "long" + std::to_string(n), 9'000));
        to.push_back(ask(host, "short" + std::to_string(n), 400));
    }
    if (GetParam().is_host_lost)
    {
        std::this_thread::sleep_for(milliseconds(100));
        m_fleet.daemons[2].program.reset();
    }
    for (auto& it : answers)
    {
        const answer got = it.get();
        EXPECT_EQ(got.status, 200U) << got.body;
    }
    for (auto& it : lost)
    {
        it.wait();
    }
    EXPECT_EQ(ask(0, "last", 9'000).get().status, 200U);
    const std::string text = metrics(0);
    const bool is_counted =
        text.find("cicadahub_entry_prefill_choices_total{result=\"within-budget"
                  "\"} 0\n") == std::string::npos;
    EXPECT_EQ(is_counted, GetParam().pace > 0) << text;
    EXPECT_NE(text.find("\ncicadahub_entry_unread_prompt_tokens 0\n"),
              std::string::npos)
        << text;
}

INSTANTIATE_TEST_SUITE_P(platform_path, long_prompts,
                         testing::Values(pace_case{"without_pace", 0, false},
                                         pace_case{"with_pace", 100, false},
                                         pace_case{"host_lost", 100, true}),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
