#include "platform_fleet.hpp"
#include "raw_call.hpp"

#include <gtest/gtest.h>

namespace cicadahub::system_tests
{
namespace
{

class refused_resumptions
    : public testing::TestWithParam<std::tuple<const char*, unsigned>>
{
};

// Guards against an error of the next server in the middle of a stream, and
// against the end of such a stream as if it were complete.
TEST_P(refused_resumptions, break_the_stream_off)
{
    const auto& [version, status] = GetParam();
    platform_fleet fleet(1);
    EXPECT_EQ(fleet.stream(0, "warm", "m1").status, 200U);
    for (const auto& it : fleet.engines)
    {
        fleet.set_fault(it.address, R"({"break_streams":1,"resumed_status":)" +
                                        std::to_string(status) + "}");
    }
    const raw_answer seen = receive_until_close(
        fleet.daemons[0].callers,
        "POST /stream/x HTTP/" + std::string(version) +
            "\r\nHost: trust.example\r\nRequest-Id: broken\r\n"
            "Authorization: Bearer key-of-trust\r\nModel: m1\r\n"
            "Token-Count: 100,20\r\nPrompt-Prefix: a:10,b:5\r\n"
            "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(seen.status(), 200U) << seen.bytes;
    EXPECT_GT(count_occurrences(seen.bytes, "data: piece"), 0U) << seen.bytes;
    EXPECT_EQ(count_occurrences(seen.bytes, "HTTP/1."), 1U) << seen.bytes;
    EXPECT_EQ(count_occurrences(seen.bytes, "error"), 0U) << seen.bytes;
    EXPECT_FALSE(seen.bytes.ends_with("\r\n0\r\n\r\n")) << seen.bytes;
    EXPECT_TRUE(seen.is_reset ||
                seen.bytes.find("chunked") != std::string::npos)
        << seen.bytes;
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, refused_resumptions,
    testing::Combine(testing::Values("1.1", "1.0"),
                     testing::Values(200U, 400U, 404U, 409U, 413U, 421U, 429U,
                                     500U, 502U, 503U, 504U, 520U)),
    [](const auto& it)
    {
        return std::string(std::get<0>(it.param)) == "1.1"
                   ? "chunks_" + std::to_string(std::get<1>(it.param))
                   : "until_close_" + std::to_string(std::get<1>(it.param));
    });

struct answer_case
{
    const char* name;
    const char* kind;
    const char* version;
};

void PrintTo(const answer_case& it, std::ostream* out)
{
    *out << it.name;
}

class broken_answers : public testing::TestWithParam<answer_case>
{
};

// Guards against an answer of events that holds a part of one server's run and
// all of another one's, on routes that can't be resumed (review/6).
TEST_P(broken_answers, hold_the_bytes_of_one_server)
{
    platform_fleet fleet(1);
    fleet.add_worker("engines", "e3",
                     {"--megabytes", "250", "--preload", "m1"});
    fleet.change_configuration(
        [](boost::json::object& spec)
        {
            boost::json::object& stream =
                spec.at("routes").as_array().at(0).as_object();
            stream["kind"] = GetParam().kind;
            stream["resumable"] = false;
            stream["maxAttempts"] = 3;
        });
    const auto has_learnt = [&]
    {
        return fleet.daemons[0].program->output().find("\"configuration\":2") !=
               std::string::npos;
    };
    EXPECT_TRUE(eventually(has_learnt));
    fleet.set_fault(fleet.engines[0].address, R"({"break_streams":1})");
    fleet.set_fault(fleet.engines[2].address, R"({"break_streams":1})");
    const raw_answer seen = receive_until_close(
        fleet.daemons[0].callers,
        "POST /stream/x HTTP/" + std::string(GetParam().version) +
            "\r\nHost: trust.example\r\nRequest-Id: broken\r\n"
            "Authorization: Bearer key-of-trust\r\nModel: m1\r\n"
            "Token-Count: 100,20\r\nPrompt-Prefix: a:10,b:5\r\n"
            "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(seen.status(), 200U) << seen.bytes;
    EXPECT_EQ(count_occurrences(seen.bytes, "id: 1\n"), 1U) << seen.bytes;
    EXPECT_FALSE(seen.bytes.ends_with("\r\n0\r\n\r\n")) << seen.bytes;
    EXPECT_TRUE(seen.is_reset ||
                seen.bytes.find("chunked") != std::string::npos);
    EXPECT_EQ(fleet.count_runs()["broken"], 1);
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, broken_answers,
    testing::Values(answer_case{"safe", "safe", "1.1"},
                    answer_case{"safe_until_close", "safe", "1.0"},
                    answer_case{"stream", "stream", "1.1"}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
