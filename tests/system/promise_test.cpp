#include "platform_fleet.hpp"

#include "core/refusal.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace cicadahub::system_tests
{
namespace
{

/// A request that must not run twice.
struct request_case
{
    const char* name;
    const char* path;
    bool is_stream;
};

struct promise_case
{
    const char* name;
    int status;
    /// Faults of all servers; the status is added.
    const char* faults;
};

void PrintTo(const promise_case& it, std::ostream* out)
{
    *out << it.name;
}

void PrintTo(const request_case& it, std::ostream* out)
{
    *out << it.name;
}

const request_case once_requests[] = {
    {"stream", "/once/x", true},
    {"call", "/post/x", false},
};

class untrue_promises
    : public testing::TestWithParam<std::tuple<request_case, promise_case>>
{
};

// Guards against a promise that a request was not executed, given to a caller
// whose request was, and against a second execution because of such a promise.
TEST_P(untrue_promises, are_neither_passed_on_nor_believed)
{
    const auto& [request, promise] = GetParam();
    platform_fleet fleet(1);
    // The connections have carried other requests.
    EXPECT_EQ(fleet.stream(0, "warm", "m1").status, 200U);
    EXPECT_EQ(fleet.plain(0, "warm", http::verb::get, "/read/1").status, 200U);
    EXPECT_EQ(fleet.plain(0, "warm", http::verb::get, "/read/1").status, 200U);
    const auto& servers = request.is_stream ? fleet.engines : fleet.services;
    std::int64_t runs_before = 0;
    for (const auto& it : servers)
    {
        runs_before += read_stat(it.address, "runs");
        fleet.set_fault(it.address, std::string(promise.faults) +
                                        R"(,"promised_status":)" +
                                        std::to_string(promise.status) + "}");
    }
    const answer seen =
        request.is_stream
            ? fleet.stream(0, "once", "m1", "key-of-trust", request.path)
            : fleet.plain(0, "once", http::verb::post, request.path);
    std::int64_t runs = -runs_before;
    for (const auto& it : servers)
    {
        runs += read_stat(it.address, "runs");
    }
    EXPECT_EQ(runs, 1);
    EXPECT_FALSE(promises_not_run(seen.status)) << seen.status;
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, untrue_promises,
    testing::Combine(
        testing::ValuesIn(once_requests),
        testing::Values(
            promise_case{"own_408", 408, R"({"unproven_promises":9)"},
            promise_case{"own_421", 421, R"({"unproven_promises":9)"},
            promise_case{"own_429", 429, R"({"unproven_promises":9)"},
            promise_case{"own_503", 503, R"({"unproven_promises":9)"},
            promise_case{"unnamed_421", 421, R"({"stale_refusals":9)"},
            promise_case{"unnamed_429", 429, R"({"stale_refusals":9)"},
            promise_case{"unnamed_503", 503, R"({"stale_refusals":9)"},
            promise_case{"of_another_421", 421,
                         R"({"stale_refusals":9,"stale_id":"another")"},
            promise_case{"of_another_408", 408,
                         R"({"stale_refusals":9,"stale_id":"another")"},
            promise_case{"of_another_503", 503,
                         R"({"stale_refusals":9,"stale_id":"another")"})),
    [](const auto& it)
    {
        return std::string(std::get<0>(it.param).name) + "_" +
               std::get<1>(it.param).name;
    });

// A server that sheds is tried again after its pause. Its connection may still
// deliver a copy of the first refusal, which names the same request.
TEST(platform_path, a_repeat_at_the_same_server_uses_a_new_connection)
{
    platform_fleet fleet(1);
    EXPECT_EQ(fleet.stream(0, "warm", "m1").status, 200U);
    fleet.set_fault(fleet.engines[0].address, R"({"shed_s":1})");
    EXPECT_EQ(fleet.stream(0, "again", "m1").status, 200U);
    const auto attempts = [&]
    {
        std::vector<std::string> found;
        std::istringstream lines(fleet.daemons[0].program->output());
        for (std::string line; std::getline(lines, line);)
        {
            if (line.find("request_attempted") != std::string::npos &&
                line.find(R"("request":"again")") != std::string::npos)
            {
                found.push_back(line);
            }
        }
        return found;
    };
    ASSERT_TRUE(eventually([&] { return attempts().size() == 2; }));
    EXPECT_NE(attempts()[0].find(R"("earlier_exchanges":1)"),
              std::string::npos);
    EXPECT_NE(attempts()[1].find(R"("earlier_exchanges":0)"),
              std::string::npos);
}

// A stream can only go on after an event that the next server can be told of.
TEST(platform_path, a_stream_whose_events_have_no_id_is_not_begun_anew)
{
    platform_fleet fleet(1);
    EXPECT_EQ(fleet.stream(0, "warm", "m1").status, 200U);
    fleet.set_fault(fleet.engines[0].address,
                    R"({"break_streams":1,"unnumbered":true})");
    EXPECT_EQ(fleet.stream(0, "broken", "m1").status, 0U);
}

// Guards against "no capacity" with a promise for a request that a server was
// executing when it crashed, where no other server has the model.
TEST(platform_path, a_request_on_a_crashed_server_gets_no_promise)
{
    platform_fleet fleet(1);
    EXPECT_EQ(fleet.stream(0, "warm", "m1").status, 200U);
    fleet.set_fault(fleet.engines[0].address, R"({"crash_after_run":true})");
    const answer seen = fleet.stream(0, "crashed", "m1");
    EXPECT_EQ(fleet.engines[0].program->wait(), 134);
    EXPECT_FALSE(promises_not_run(seen.status)) << seen.status;
}

} // namespace
} // namespace cicadahub::system_tests
