#include "platform_fleet.hpp"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <sstream>
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
    /// Bytes of a further request that the caller has sent before it leaves.
    std::size_t pipelined_bytes = 0;
};

void PrintTo(const leave_case& it, std::ostream* out)
{
    *out << it.name;
}

/// More than a host reads at once with the request before it.
constexpr std::size_t unread_bytes = 60'000;

class left_callers : public testing::TestWithParam<leave_case>
{
protected:
    using tcp_socket = boost::asio::ip::tcp::socket;

    /// Sends a request and what follows it, without reading.
    static tcp_socket send(boost::asio::io_context& context,
                           const std::string& address, const std::string& id)
    {
        tcp_socket socket(context);
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
        const std::size_t n = GetParam().pipelined_bytes;
        if (n > 0)
        {
            const std::string behind = "POST /post/y HTTP/1.1\r\n"
                                       "Host: trust.example\r\n"
                                       "Content-Length: " +
                                       std::to_string(n) + "\r\n\r\n" +
                                       std::string(n, 'x');
            boost::asio::write(socket, boost::asio::buffer(behind));
        }
        return socket;
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
    boost::asio::io_context context;
    for (int n = 0; n < callers; ++n)
    {
        send(context, fleet.daemons[0].callers, "left-" + std::to_string(n))
            .close();
    }
    fleet.daemons[0].program->resume();
    ASSERT_EQ(serve("behind").status, 200U);
    std::this_thread::sleep_for(milliseconds(500));
    for (const auto& [id, runs] : fleet.count_runs())
    {
        EXPECT_FALSE(id.starts_with("left-")) << id;
    }
    // Nor a connection to a server.
    std::istringstream log(fleet.daemons[0].program->output());
    for (std::string line; std::getline(log, line);)
    {
        EXPECT_FALSE(line.find("request_attempted") != std::string::npos &&
                     line.find(R"("request":"left-)") != std::string::npos)
            << line;
    }
}

class left_streams : public left_callers
{
};

// Guards against work that goes on because bytes in front of a close hide it.
TEST_P(left_streams, end_within_half_a_second)
{
    constexpr milliseconds limit{500};
    constexpr milliseconds event_gap{1'500};
    platform_fleet fleet(1);
    for (const auto& it : fleet.engines)
    {
        fleet.set_fault(it.address, R"({"event_gap_ms":)" +
                                        std::to_string(event_gap.count()) +
                                        "}");
    }
    boost::asio::io_context context;
    tcp_socket caller = send(context, fleet.daemons[0].callers, "left");
    ASSERT_TRUE(eventually([&] { return fleet.engine_total("running") == 1; }));
    caller.close();
    EXPECT_TRUE(eventually(
        [&]
        {
            return fleet.daemons[0].program->output().find(
                       R"("outcome":"caller-gone")") != std::string::npos;
        },
        limit));
}

std::string name_of_case(const testing::TestParamInfo<leave_case>& it)
{
    return it.param.name;
}

constexpr leave_case stream_case{"stream", "/stream/x", "m1"};
constexpr leave_case once_case{"stream_once", "/once/x", "m1"};
constexpr leave_case long_stream_case{"stream_and_more", "/stream/x", "m1",
                                      unread_bytes};
constexpr leave_case long_once_case{"stream_once_and_more", "/once/x", "m1",
                                    unread_bytes};

INSTANTIATE_TEST_SUITE_P(
    platform_path, left_callers,
    testing::Values(stream_case, once_case, leave_case{"call", "/post/x", ""},
                    long_stream_case, long_once_case,
                    leave_case{"call_and_more", "/post/x", "", unread_bytes}),
    name_of_case);

INSTANTIATE_TEST_SUITE_P(platform_path, left_streams,
                         testing::Values(stream_case, once_case,
                                         long_stream_case, long_once_case),
                         name_of_case);

} // namespace
} // namespace cicadahub::system_tests
