#include "decision/sharing/server_pause.hpp"

#include <gtest/gtest.h>

#include <map>

namespace cicadahub::sharing
{
namespace
{

const time_point start{seconds(3'600)};

TEST(server_pause, ends_within_its_spread)
{
    struct
    {
        milliseconds length;
        double draw;
        milliseconds left;
    } const rows[] = {
        {milliseconds(0), 0.5, milliseconds(0)},
        {milliseconds(400), 0.0, milliseconds(400)},
        {milliseconds(400), 0.5, milliseconds(450)},
        {milliseconds(10'000), 1.0, milliseconds(10'500)},
        {seconds(86'400), 0.0, server_pause::max_length},
    };
    for (const auto& row : rows)
    {
        server_pause pause;
        pause.on_requested(start, row.length, row.draw);
        EXPECT_EQ(pause.left(start), row.left);
        EXPECT_EQ(pause.is_active(start), row.left.count() > 0);
        EXPECT_FALSE(pause.is_active(start + row.left));
    }
}

TEST(server_pause, is_extended_but_never_shortened)
{
    server_pause pause;
    EXPECT_TRUE(pause.on_requested(start, seconds(5), 0));
    EXPECT_FALSE(pause.on_requested(start + seconds(1), seconds(2), 0));
    EXPECT_TRUE(pause.is_active(start + milliseconds(4'999)));
    EXPECT_TRUE(pause.on_requested(start + seconds(2), seconds(5), 0));
    EXPECT_TRUE(pause.is_active(start + milliseconds(6'999)));
    EXPECT_FALSE(pause.is_active(start + seconds(7)));
}

// A service of which every server asks all hosts for the same pause must not
// get all hosts back in the same moment.
TEST(server_pause, returns_of_many_hosts_are_spread)
{
    constexpr int hosts = 60;
    constexpr milliseconds window{50};
    std::map<std::int64_t, int> returns;
    for (int n = 0; n < hosts; ++n)
    {
        server_pause pause;
        pause.on_requested(start, seconds(4), n / double(hosts));
        ++returns[pause.left(start) / window];
    }
    for (const auto& [at, n] : returns)
    {
        EXPECT_LE(n, hosts / 8) << at;
    }
}

} // namespace
} // namespace cicadahub::sharing
