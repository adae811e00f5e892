#include "servers.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

struct load_case
{
    const char* name;
    const char* text;
    std::uint32_t slots;
    std::optional<double> pace_percent;
};

void PrintTo(const load_case& it, std::ostream* out)
{
    *out << it.name;
}

class server_loads : public testing::TestWithParam<load_case>
{
};

// Guards against a fourth figure that is misread, or that takes the other three
// with it.
TEST_P(server_loads, are_read_with_and_without_a_pace)
{
    http::beast_http::response_header<> head;
    head.set("Server-Load", GetParam().text);
    const auto it =
        servers.read_answer(head, request_id("r"), server_id("s")).load;
    ASSERT_TRUE(it);
    EXPECT_EQ(it->slots, GetParam().slots);
    EXPECT_EQ(it->pace_percent, GetParam().pace_percent);
}

INSTANTIATE_TEST_SUITE_P(
    servers, server_loads,
    testing::Values(load_case{"three", "3,0,24", 24, std::nullopt},
                    load_case{"four", "3,0,24,250", 24, 250},
                    load_case{"five", "3,0,24,250,7", 24, 250},
                    load_case{"none", "3,0,24,", 24, std::nullopt},
                    load_case{"zero", "3,0,24,0", 24, std::nullopt},
                    load_case{"negative", "3,0,24,-1", 24, std::nullopt},
                    load_case{"no_number", "3,0,24,inf", 24, std::nullopt}),
    [](const auto& it) { return std::string(it.param.name); });

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
