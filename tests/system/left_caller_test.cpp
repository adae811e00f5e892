#include "platform_fleet.hpp"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace cicadahub::system_tests
{
namespace
{

struct leave_case
{
    const char* name;
    const char* path;
    /// Empty for a call of a plain service.
    const char* model;
};

void PrintTo(const leave_case& it, std::ostream* out)
{
    *out << it.name;
}

class left_callers : public testing::TestWithParam<leave_case>
{
protected:
    /// Sends a request and closes the connection without reading.
    static void send_and_leave(const std::string& address,
                               const std::string& id)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(http::parse_endpoint(address));
        const std::string model = GetParam().model;
        const std::string request =
            "POST " + std::string(GetParam().path) +
            " HTTP/1.1\r\nHost: trust.example\r\nRequest-Id: " + id +
            "\r\nAuthorization: Bearer key-of-trust\r\n" +
            (model.empty() ? std::string()
                           : "Model: " + model +
                                 "\r\nToken-Count: 20,16\r\n"
                                 "Prompt-Prefix: a:10,b:10\r\n") +
            "Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(request));
    }
};

// Guards against work for callers that left before a host that is late read
// their requests.
TEST_P(left_callers, whose_close_came_before_the_request_was_read_cost_no_run)
{
    constexpr int callers = 20;
    platform_fleet fleet(1);
    const auto serve = [&](const std::string& id)
    {
        return *GetParam().model == '\0'
                   ? fleet.plain(0, id, http::verb::post, GetParam().path)
                   : fleet.stream(0, id, GetParam().model, "key-of-trust",
                                  GetParam().path);
    };
    ASSERT_EQ(serve("warm").status, 200U);
    fleet.daemons[0].program->pause();
    for (int n = 0; n < callers; ++n)
    {
        send_and_leave(fleet.daemons[0].callers, "left-" + std::to_string(n));
    }
    fleet.daemons[0].program->resume();
    ASSERT_EQ(serve("behind").status, 200U);
    std::this_thread::sleep_for(milliseconds(500));
    for (const auto& [id, runs] : fleet.count_runs())
    {
        EXPECT_FALSE(id.starts_with("left-")) << id;
    }
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, left_callers,
    testing::Values(leave_case{"stream", "/stream/x", "m1"},
                    leave_case{"stream_once", "/once/x", "m1"},
                    leave_case{"call", "/post/x", ""}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
