#include "http/dead_peer_detection.hpp"

#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <netinet/tcp.h>

namespace cicadahub::http
{
namespace
{

constexpr milliseconds step{50};
/// A peer that is gone is noticed within this time.
constexpr milliseconds latest_detection{4'500};

/// Time after the last byte at which Linux closes a connection without
/// unacknowledged data, if the peer drops everything within the silence; empty
/// if it does not.
std::optional<milliseconds> closed_at(const dead_peer_timing& timing,
                                      milliseconds silent_from,
                                      milliseconds silent_until)
{
    milliseconds last_received{0};
    int unanswered = 0;
    const milliseconds end = silent_until + seconds(20);
    milliseconds now = timing.idle;
    while (now < end)
    {
        const milliseconds silence = now - last_received;
        if (silence < timing.idle)
        {
            now = last_received + timing.idle;
            continue;
        }
        if (unanswered > 0 && silence >= timing.unacknowledged)
        {
            return now;
        }
        const bool is_answered = now < silent_from || now >= silent_until;
        unanswered = is_answered ? 0 : unanswered + 1;
        last_received = is_answered ? now : last_received;
        now += timing.interval;
    }
    return std::nullopt;
}

TEST(dead_peer_timing, spares_a_sound_peer_that_is_silent)
{
    for (milliseconds from{0}; from <= milliseconds(3'000); from += step)
    {
        EXPECT_FALSE(closed_at(default_dead_peer_timing, from,
                               from + longest_sound_silence))
            << from.count();
    }
}

TEST(dead_peer_timing, notices_a_dead_peer)
{
    for (milliseconds from{0}; from <= milliseconds(3'000); from += step)
    {
        const auto closed =
            closed_at(default_dead_peer_timing, from, from + seconds(60));
        ASSERT_TRUE(closed);
        EXPECT_LE(*closed - from, latest_detection) << from.count();
    }
}

// Lost data is sent again after 0.2 s, then each time after twice as long; it
// must be sent once more after the silence and before it is given up.
TEST(dead_peer_timing, leaves_time_for_data_to_be_sent_again)
{
    milliseconds sent_again{0};
    for (milliseconds pause{200}; sent_again < longest_sound_silence;
         pause *= 2)
    {
        sent_again += pause;
    }
    EXPECT_LT(sent_again, default_dead_peer_timing.unacknowledged);
}

int option_of(net::ip::tcp::socket& socket, int name)
{
    int value = 0;
    socklen_t size = sizeof(value);
    EXPECT_EQ(
        ::getsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, &size),
        0);
    return value;
}

// No other code or library may set the options to values of its own.
TEST(dead_peer_timing, is_that_of_all_connections_of_a_pool)
{
    net::io_context context(1);
    net::ip::tcp::acceptor acceptor(context,
                                    {net::ip::address_v4::loopback(), 0});
    client_pool pool(context, milliseconds(1'000), 1);
    auto opened = net::co_spawn(
        context, pool.acquire(acceptor.local_endpoint()), net::use_future);
    context.run();
    const auto connection = opened.get();
    auto& socket = connection->stream.socket();
    net::socket_base::keep_alive is_kept_alive;
    socket.get_option(is_kept_alive);
    const dead_peer_timing& expected = default_dead_peer_timing;
    EXPECT_TRUE(is_kept_alive.value());
    EXPECT_EQ(option_of(socket, TCP_USER_TIMEOUT),
              expected.unacknowledged.count());
    EXPECT_EQ(option_of(socket, TCP_KEEPIDLE), expected.idle.count());
    EXPECT_EQ(option_of(socket, TCP_KEEPINTVL), expected.interval.count());
}

} // namespace
} // namespace cicadahub::http
