#include "servers.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

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
