#include "process.hpp"
#include "response_endings.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace cicadahub::system_tests
{
namespace
{

class load_reports : public testing::TestWithParam<fakes::response_ending>
{
};

// A load report that counts broken streams as answered would hide the fault
// that a load run looks for.
TEST_P(load_reports, count_a_broken_stream_as_failed)
{
    boost::asio::io_context context;
    fakes::scripted_server server(
        context,
        fakes::bytes_of(GetParam(), "Content-Type: text/event-stream\r\n"),
        GetParam().end);
    std::thread serving([&] { context.run(); });
    process load("utilities/cicada-load",
                 {"--target", http::to_string(server.address()), "--model", "m",
                  "--rate", "5", "--duration", "1", "--stream"});
    EXPECT_EQ(load.wait(), 0);
    context.stop();
    serving.join();
    const std::string output = load.output();
    const bool is_none_answered =
        output.find("answered 0,") != std::string::npos;
    const bool is_none_failed = output.find("failed 0\n") != std::string::npos;
    EXPECT_EQ(is_none_failed, GetParam().is_complete) << output;
    EXPECT_EQ(is_none_answered, !GetParam().is_complete) << output;
}

INSTANTIATE_TEST_SUITE_P(load, load_reports,
                         testing::ValuesIn(fakes::stream_endings()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
