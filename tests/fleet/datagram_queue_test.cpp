#include "fleet/datagram_queue.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace cicadahub::fleet
{
namespace
{

namespace ip = boost::asio::ip;

ip::udp::endpoint receiver(unsigned n)
{
    return {ip::address_v4(0x7f000000 + n), 7};
}

datagram to(unsigned n, const std::string& text)
{
    return {receiver(n), std::make_shared<const std::string>(text)};
}

/// Texts in the order in which they are sent, at whatever rate.
std::vector<std::string> drain(datagram_queue& it)
{
    std::vector<std::string> sent;
    time_point now{};
    while (!it.is_empty())
    {
        now += it.time_to_next(now) + milliseconds(1);
        while (const auto next = it.pop(now))
        {
            sent.push_back(*next->bytes);
        }
    }
    return sent;
}

using texts = std::vector<std::string>;

TEST(datagram_queue, sends_only_the_newest_routine_datagram_of_a_receiver)
{
    datagram_queue it(1e6);
    it.push(datagram_kind::routine, to(1, "old"));
    it.push(datagram_kind::routine, to(2, "other"));
    it.push(datagram_kind::routine, to(1, "new"));
    EXPECT_EQ(drain(it), (texts{"other", "new"}));
}

TEST(datagram_queue, sends_urgent_datagrams_first_but_in_order_to_a_receiver)
{
    datagram_queue it(1e6);
    it.push(datagram_kind::routine, to(1, "routine 1"));
    it.push(datagram_kind::routine, to(2, "routine 2"));
    it.push(datagram_kind::urgent, to(2, "urgent 2"));
    it.push(datagram_kind::urgent, to(3, "urgent 3"));
    it.push(datagram_kind::routine, to(2, "later 2"));
    EXPECT_EQ(drain(it), (texts{"routine 2", "urgent 2", "urgent 3",
                                "routine 1", "later 2"}));
}

TEST(datagram_queue, drops_the_oldest_news_beyond_a_second_of_the_rate)
{
    datagram_queue it(1'000);
    for (unsigned n = 0; n < 15; ++n)
    {
        it.push(datagram_kind::urgent,
                to(n, std::string(100, static_cast<char>('a' + n))));
    }
    EXPECT_EQ(it.take_dropped(), 5U);
    EXPECT_EQ(it.take_dropped(), 0U);
    EXPECT_EQ(drain(it).front(), std::string(100, 'f'));
}

struct fleet_case
{
    const char* name;
    double rate;
    unsigned hosts;
    std::size_t bytes;
    milliseconds period;
};

void PrintTo(const fleet_case& it, std::ostream* out)
{
    *out << it.name;
}

class paced_digests : public testing::TestWithParam<fleet_case>
{
};

// Guards against digests to many hosts that fill the host's own link, so that
// the last receivers get none, and requests and answers wait.
TEST_P(paced_digests, keep_to_the_rate_and_reach_all_in_their_period)
{
    const fleet_case& given = GetParam();
    constexpr milliseconds window{100};
    datagram_queue queue(given.rate);
    std::deque<std::pair<time_point, std::size_t>> recent;
    std::size_t recent_bytes = 0;
    time_point now{};
    for (int round = 0; round < 10; ++round)
    {
        for (unsigned n = 0; n < given.hosts; ++n)
        {
            queue.push(datagram_kind::routine,
                       to(n, std::string(given.bytes, 'x')));
        }
        const time_point next_round = now + given.period;
        std::size_t reached = 0;
        while (!queue.is_empty() && now < next_round)
        {
            while (const auto it = queue.pop(now))
            {
                ++reached;
                recent.emplace_back(now, it->bytes->size());
                recent_bytes += it->bytes->size();
            }
            while (recent.front().first + window <= now)
            {
                recent_bytes -= recent.front().second;
                recent.pop_front();
            }
            // Beside the rate a burst of a fiftieth of a second.
            ASSERT_LE(static_cast<double>(recent_bytes),
                      given.rate * 0.12 + static_cast<double>(given.bytes));
            now += std::max(queue.time_to_next(now), milliseconds(1));
        }
        EXPECT_EQ(reached, given.hosts);
        now = next_round;
    }
}

INSTANTIATE_TEST_SUITE_P(
    datagram_queue, paced_digests,
    testing::Values(
        fleet_case{"calm_9_hosts", 62.5e6, 9, 800, milliseconds(340)},
        fleet_case{"calm_74_hosts", 625e3, 74, 800, milliseconds(990)},
        fleet_case{"crashes_74_hosts", 625e3, 74, 3'000, milliseconds(990)},
        fleet_case{"crashes_420_hosts", 625e3, 420, 3'000,
                   milliseconds(4'450)}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::fleet
