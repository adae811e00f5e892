#include "core/refusal.hpp"
#include "fleet.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace cicadahub::system_tests
{
namespace
{

using call_fields = std::vector<std::pair<std::string, std::string>>;

/// Requests that leave an idle connection to the server on each thread of a
/// daemon, which serve new connections in turn.
constexpr int warm_requests = 16;

/// Executions by the plain service, whatever the request.
std::int64_t service_runs(const fleet& it)
{
    const boost::json::object json = parse_json_object(
        call(it.plain_service.address, http::verb::get, "/stats").body);
    std::int64_t sum = 0;
    for (const auto& [id, n] : json_reader(json).object("runs"))
    {
        sum += n.as_int64();
    }
    return sum;
}

struct fault_case
{
    const char* name;
    /// Faults of the server.
    const char* faults;
};

void PrintTo(const fault_case& it, std::ostream* out)
{
    *out << it.name;
}

/// A kind of call to a plain service.
struct call_case
{
    const char* name;
    http::verb method;
    const char* path;
    const char* idempotency_key;
};

void PrintTo(const call_case& it, std::ostream* out)
{
    *out << it.name;
}

const call_case service_calls[] = {
    {"idempotent", http::verb::get, "/services/open/x", ""},
    {"once", http::verb::post, "/services/ledger/post", ""},
    {"with_key", http::verb::post, "/services/ledger/post", "k1"},
};

class service_promises
    : public testing::TestWithParam<std::tuple<call_case, fault_case>>
{
};

// Guards against a promise that a call was not executed, or another caller's
// answer, given to a caller whose call a service has executed.
TEST_P(service_promises, are_not_passed_on)
{
    const auto& [kind, fault] = GetParam();
    fleet it(1, 1);
    it.set_fault(it.plain_service, fault.faults);
    call_fields fields{{"Authorization", "Bearer key-of-a"}};
    const bool has_key = *kind.idempotency_key != '\0';
    if (has_key)
    {
        fields.emplace_back("Idempotency-Key", kind.idempotency_key);
    }
    // A repeat with the key gets the outcome that was saved.
    for (int n = 0; n < (has_key ? 2 : 1); ++n)
    {
        const answer seen =
            call(it.daemons[0].callers, kind.method, kind.path, "{}", fields);
        EXPECT_FALSE(promises_not_run(seen.status)) << seen.status;
        EXPECT_FALSE(seen.is_not_run()) << seen.body;
        EXPECT_EQ(seen.body.find("stale"), std::string::npos) << seen.body;
    }
    EXPECT_EQ(service_runs(it), 1);
}

INSTANTIATE_TEST_SUITE_P(
    cicadad, service_promises,
    testing::Combine(
        testing::ValuesIn(service_calls),
        testing::Values(
            fault_case{"own_408",
                       R"({"unproven_promises":9,"promised_status":408})"},
            fault_case{"own_421",
                       R"({"unproven_promises":9,"promised_status":421})"},
            fault_case{"own_429",
                       R"({"unproven_promises":9,"promised_status":429})"},
            fault_case{"own_503",
                       R"({"unproven_promises":9,"promised_status":503})"},
            fault_case{"own_503_as_stream",
                       R"({"unproven_promises":9,"promised_status":503,)"
                       R"("promises_as_streams":true})"},
            fault_case{"unnamed_503",
                       R"({"stale_responses":9,"promised_status":503})"},
            fault_case{"of_another_503",
                       R"({"stale_responses":9,"promised_status":503,)"
                       R"("stale_id":"another"})"},
            fault_case{"of_another_200",
                       R"({"stale_responses":9,"promised_status":200,)"
                       R"("stale_id":"another"})"})),
    [](const auto& it)
    {
        return std::string(std::get<0>(it.param).name) + "_" +
               std::get<1>(it.param).name;
    });

// Guards against a streamed answer to a call with a key, which cannot be saved:
// the daemon took it for a saved one, and ended.
TEST(cicadad, a_streamed_answer_to_a_call_with_a_key_is_not_replayed)
{
    fleet it(1, 1);
    it.set_fault(it.plain_service,
                 R"({"unproven_promises":9,"promised_status":200,)"
                 R"("promises_as_streams":true})");
    const call_fields fields{{"Authorization", "Bearer key-of-a"},
                             {"Idempotency-Key", "k1"}};
    const auto post = [&]
    {
        return call(it.daemons[0].callers, http::verb::post,
                    "/services/ledger/post", "{}", fields);
    };
    const answer first = post();
    EXPECT_EQ(first.status, 200U);
    EXPECT_NE(first.body.find("data:"), std::string::npos);
    EXPECT_EQ(call(it.daemons[0].callers, http::verb::get, "/healthz").status,
              200U);
    answer repeat;
    EXPECT_TRUE(eventually(
        [&]
        {
            repeat = post();
            return repeat.refusal() == "outcome-unknown";
        },
        milliseconds(5'000)))
        << repeat.status << " " << repeat.body;
    EXPECT_EQ(service_runs(it), 1);
}

class engine_promises
    : public testing::TestWithParam<std::tuple<bool, fault_case>>
{
};

// Guards against statuses of an engine that do not mean by its interface that
// it has not executed the request, and against another caller's answer.
TEST_P(engine_promises, are_not_passed_on)
{
    const auto& [is_stream, fault] = GetParam();
    fleet it(1, 1);
    EXPECT_EQ(it.complete(0, "m1").status, 200U);
    it.set_fault(it.engines[0], fault.faults);
    const answer seen = it.complete(0, "m1", "key-of-a", 2, is_stream);
    EXPECT_FALSE(promises_not_run(seen.status)) << seen.status;
    EXPECT_FALSE(seen.is_not_run()) << seen.body;
    EXPECT_EQ(seen.body.find("stale"), std::string::npos) << seen.body;
    EXPECT_NE(seen.status, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    cicadad, engine_promises,
    testing::Combine(
        testing::Bool(),
        testing::Values(
            fault_case{"own_408",
                       R"({"unproven_promises":9,"promised_status":408})"},
            fault_case{"own_421",
                       R"({"unproven_promises":9,"promised_status":421})"},
            fault_case{"own_408_as_stream",
                       R"({"unproven_promises":9,"promised_status":408,)"
                       R"("promises_as_streams":true})"},
            fault_case{"of_another_200",
                       R"({"stale_responses":9,"promised_status":200,)"
                       R"("stale_id":"another"})"})),
    [](const auto& it)
    {
        return std::string(std::get<0>(it.param) ? "stream_" : "call_") +
               std::get<1>(it.param).name;
    });

/// Shortens the time in which requests are tried, after `fleet` is warm.
void set_target(fleet& it, milliseconds limit)
{
    const std::int64_t version = it.apply("class", "default",
                                          R"({"first_token_within_ms":)" +
                                              std::to_string(limit.count()) +
                                              R"(,"refusals_percent":1})");
    ASSERT_TRUE(it.is_applied_everywhere("class", "default", version));
}

constexpr milliseconds short_target{500};

answer complete_as(const fleet& it, const std::string& id)
{
    return call(it.daemons[0].callers, http::verb::post, "/v1/completions",
                R"({"model":"m1","prompt":"p","max_tokens":2})",
                {{"Authorization", "Bearer key-of-a"}, {"X-Request-Id", id}});
}

void warm_up(fleet& it)
{
    for (int n = 0; n < warm_requests; ++n)
    {
        EXPECT_EQ(it.complete(0, "m1").status, 200U);
    }
}

class stale_refusals : public testing::TestWithParam<fault_case>
{
};

// Guards against a refusal of another request that is believed: the engine
// executes the request, and turns all repeats away.
TEST_P(stale_refusals, prove_nothing_of_a_request_that_runs)
{
    fleet it(1, 1);
    it.set_fault(it.engines[0], GetParam().faults);
    it.set_fault(it.engines[0], R"({"stale_responses":0,"busy":0})");
    warm_up(it);
    set_target(it, short_target);
    const std::int64_t before = it.engine_total("completed");
    it.set_fault(it.engines[0], R"({"stale_responses":1,"busy":1000})");
    const answer seen = std::string_view(GetParam().name).starts_with("chosen")
                            ? complete_as(it, "chosen")
                            : it.complete(0, "m1");
    EXPECT_EQ(it.engine_total("completed"), before + 1);
    EXPECT_FALSE(promises_not_run(seen.status)) << seen.status;
    EXPECT_FALSE(seen.is_not_run()) << seen.body;
}

INSTANTIATE_TEST_SUITE_P(
    cicadad, stale_refusals,
    testing::Values(
        fault_case{"unnamed_503", R"({"promised_status":503})"},
        fault_case{"unnamed_429", R"({"promised_status":429})"},
        fault_case{"unnamed_404", R"({"promised_status":404})"},
        fault_case{"unnamed_503_of_a_server_that_never_names",
                   R"({"promised_status":503,"echo":false})"},
        fault_case{"of_another_503",
                   R"({"promised_status":503,"stale_id":"another"})"},
        fault_case{"of_another_404",
                   R"({"promised_status":404,"stale_id":"another"})"},
        fault_case{"chosen_id_503",
                   R"({"promised_status":503,"stale_id":"chosen"})"}),
    [](const auto& it) { return std::string(it.param.name); });

// A refusal that names the request needs no new connection, so that an engine
// that is busy loses none.
TEST(cicadad, a_refusal_that_names_the_request_is_believed)
{
    fleet it(1, 1);
    warm_up(it);
    set_target(it, short_target);
    it.set_fault(it.engines[0], R"({"busy":1000})");
    const answer seen = it.complete(0, "m1");
    EXPECT_EQ(seen.status, 503U);
    EXPECT_TRUE(seen.is_not_run());
}

/// Values of `earlier_exchanges` of the attempts at a request, in order.
std::vector<int> earlier_exchanges(const std::string& log,
                                   const std::string& id)
{
    std::vector<int> seen;
    std::istringstream in(log);
    for (std::string line; std::getline(in, line);)
    {
        const std::string mark = " earlier_exchanges=";
        const std::size_t at = line.find(mark);
        if (line.find("request=" + id + " ") != std::string::npos &&
            at != std::string::npos)
        {
            seen.push_back(std::stoi(line.substr(at + mark.size())));
        }
    }
    return seen;
}

// Guards against a second copy of the response to the first attempt, which
// names the request and would be taken for that to its repeat.
TEST(cicadad, a_repeat_at_the_same_server_uses_a_new_connection)
{
    fleet it(1, 1);
    warm_up(it);
    set_target(it, short_target);
    it.set_fault(it.engines[0], R"({"busy":1000})");
    EXPECT_EQ(complete_as(it, "repeated").status / 100, 5U);
    std::vector<int> seen;
    ASSERT_TRUE(eventually(
        [&]
        {
            seen =
                earlier_exchanges(it.daemons[0].program->output(), "repeated");
            return seen.size() > 1;
        }));
    EXPECT_EQ(seen,
              [&]
              {
                  std::vector<int> expected(seen.size(), 0);
                  expected[0] = seen[0];
                  return expected;
              }());
}

// Guards against counts of promises that were never sent: of a request that may
// have been executed the caller gets another refusal.
TEST(cicadad, a_refusal_is_counted_as_it_was_sent)
{
    fleet it(1, 1);
    it.set_fault(it.plain_service, R"({"lose_answers":9})");
    const answer seen =
        call(it.daemons[0].callers, http::verb::get, "/services/open/x");
    EXPECT_EQ(seen.refusal(), "outcome-unknown");
    const std::string metrics =
        call(it.daemons[0].callers, http::verb::get, "/metrics").body;
    EXPECT_NE(metrics.find(R"(refusals_total{reason="outcome-unknown"} 1)"),
              std::string::npos)
        << metrics;
    EXPECT_EQ(metrics.find(R"(reason="no-capacity")"), std::string::npos);
    const std::string counts =
        call(it.daemons[0].operators, http::verb::get, "/fares").body;
    EXPECT_NE(counts.find(R"("outcome-unknown":1)"), std::string::npos)
        << counts;
}

} // namespace
} // namespace cicadahub::system_tests
