#include "servers.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

class server_loads : public testing::TestWithParam<
                         std::pair<const char*, std::optional<double>>>
{
};

// Guards against a fourth figure that is misread, or that takes the other three
// with it.
TEST_P(server_loads, are_read_with_and_without_a_pace)
{
    const auto& [text, pace_percent] = GetParam();
    http::beast_http::response_header<> head;
    head.set("Server-Load", text);
    const auto it =
        servers.read_answer(head, request_id("r"), server_id("s")).load;
    ASSERT_TRUE(it);
    EXPECT_EQ(it->slots, 24U);
    EXPECT_EQ(it->pace_percent, pace_percent);
}

INSTANTIATE_TEST_SUITE_P(servers, server_loads,
                         testing::Values(std::pair("3,0,24", std::nullopt),
                                         std::pair("3,0,24,250", 250.0),
                                         std::pair("3,0,24,250,7", 250.0),
                                         std::pair("3,0,24,", std::nullopt),
                                         std::pair("3,0,24,0", std::nullopt),
                                         std::pair("3,0,24,inf",
                                                   std::nullopt)));

// Guards against an urgency that the caller chose, or one that is lost.
TEST(forwarded_urgency, is_that_of_this_system)
{
    http::request message{http::verb::post, "/x", 11};
    message.set("Request-Urgency", "0");
    entry::forwarding added;
    EXPECT_EQ(servers.forward_head(message, added).find("Request-Urgency"),
              std::string::npos);
    added.urgency = 7;
    EXPECT_NE(servers.forward_head(message, added).find("Request-Urgency: 7\r"),
              std::string::npos);
}

} // namespace
} // namespace cicadahub::adapter
