#include "decision/routing/server_choice.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

namespace cicadahub::routing
{
namespace
{

constexpr double prompt_tokens = 500;

class server_choice : public testing::Test
{
protected:
    void add(std::uint32_t running, bool is_trusted = true)
    {
        m_ids.push_back(server_id("s" + std::to_string(m_ids.size())));
        m_load.push_back(running);
        m_trusted.push_back(is_trusted);
    }

    std::vector<choice_candidate> candidates() const
    {
        std::vector<choice_candidate> from;
        for (std::size_t n = 0; n < m_ids.size(); ++n)
        {
            from.push_back({&m_ids[n], m_load[n], slots, false, m_trusted[n]});
        }
        return from;
    }

    static constexpr std::uint32_t slots = 24;
    std::vector<server_id> m_ids;
    std::vector<std::uint32_t> m_load;
    std::vector<bool> m_trusted;
    std::mt19937_64 m_random{1};
};

TEST_F(server_choice, a_server_is_drawn_in_proportion_to_its_free_slots)
{
    add(slots - 1);
    add(slots - 3);
    std::array<int, 2> taken{};
    for (std::uint64_t random = 0; random < 400; ++random)
    {
        const auto at = choose_engine(candidates(), {}, prompt_tokens, random);
        ASSERT_TRUE(at);
        ++taken[*at];
    }
    EXPECT_EQ(taken[0], 100);
    EXPECT_EQ(taken[1], 300);
}

TEST_F(server_choice, full_servers_take_nothing)
{
    add(slots);
    add(slots);
    EXPECT_FALSE(choose_engine(candidates(), {}, prompt_tokens, 7));
    add(slots - 1);
    EXPECT_EQ(choose_engine(candidates(), {}, prompt_tokens, 7), 2U);
}

TEST_F(server_choice, an_untrusted_server_is_only_a_last_resort)
{
    add(0, false);
    add(9);
    add(9);
    for (int n = 0; n < 20; ++n)
    {
        EXPECT_NE(choose_engine(candidates(), {}, prompt_tokens, m_random()),
                  0U);
    }
}

TEST_F(server_choice, requests_with_a_long_shared_prompt_go_to_one_server)
{
    for (int n = 0; n < 8; ++n)
    {
        add(2);
    }
    const prompt_affinity prompt{"key", 6'000};
    const auto first =
        choose_engine(candidates(), prompt, prompt_tokens, m_random());
    for (int n = 0; n < 20; ++n)
    {
        EXPECT_EQ(
            choose_engine(candidates(), prompt, prompt_tokens, m_random()),
            first);
    }
}

// Guards against daemons that overload one server because they all decide on
// the same load reports, which are a second old, and because all requests start
// with one of three short shared prompts. No server may get more requests than
// its slots, which are three times the mean.
TEST_F(server_choice, daemons_with_the_same_stale_load_spread_their_requests)
{
    constexpr int servers = 10;
    for (int n = 0; n < servers; ++n)
    {
        add(0);
    }
    for (int second = 0; second < 20; ++second)
    {
        const auto stale_candidates = candidates();
        std::vector<std::uint32_t> arrived(servers);
        constexpr int requests = 80;
        for (int n = 0; n < requests; ++n)
        {
            const prompt_affinity prompt{"key" + std::to_string(n % 3), 93};
            const auto at = choose_engine(stale_candidates, prompt,
                                          prompt_tokens, m_random());
            ASSERT_TRUE(at);
            ++arrived[*at];
        }
        // Each request ends within a second.
        m_load = arrived;
        if (second > 0)
        {
            const auto most = *std::max_element(arrived.begin(), arrived.end());
            EXPECT_LE(most, slots);
        }
    }
}

} // namespace
} // namespace cicadahub::routing
