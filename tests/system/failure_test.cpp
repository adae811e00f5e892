#include "fleet.hpp"

#include "core/digest.hpp"

#include <gtest/gtest.h>

#include <future>
#include <set>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

/// Index of a daemon other than `n`.
std::size_t other_daemon(std::size_t n, const fleet& it)
{
    return (n + 1) % it.daemons.size();
}

/// A stream whose head has arrived at its caller.
class open_stream
{
public:
    open_stream(const std::string& callers, const std::string& model,
                const std::string& key, int tokens)
        : m_socket(m_context)
    {
        m_socket.connect(http::parse_endpoint(callers));
        http::request message = http::make_request(
            http::verb::post, "/v1/completions",
            boost::json::serialize(boost::json::object{{"model", model},
                                                       {"prompt", "p"},
                                                       {"max_tokens", tokens},
                                                       {"stream", true}}));
        message.set(http::field::authorization, "Bearer " + key);
        http::beast_http::write(m_socket, message);
        http::beast_http::read_header(m_socket, m_buf, m_parser);
    }

    unsigned status() const { return m_parser.get().result_int(); }

    /// False if the stream breaks off.
    bool reads_to_its_end()
    {
        boost::system::error_code ec;
        http::beast_http::read(m_socket, m_buf, m_parser, ec);
        return !ec;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buf;
    http::beast_http::response_parser<http::beast_http::string_body> m_parser;
};

class owner_failures : public testing::TestWithParam<const char*>
{
};

TEST_P(owner_failures, a_killed_owner_causes_no_second_load)
{
    engine_options options;
    options.fencing = GetParam();
    fleet it(3, 2, options);
    const std::size_t owner = it.holder_index("placement-0", 0);
    const std::size_t other = other_daemon(owner, it);
    // The owner is killed while the load that it ordered is in progress.
    auto waiting = std::async(std::launch::async,
                              [&] { return it.complete(other, "m1"); });
    EXPECT_TRUE(eventually(
        [&]
        {
            return it.daemons[owner].program->output().find("load_ordered") !=
                   std::string::npos;
        }));
    it.daemons[owner].program->kill();
    it.daemons[owner].program->wait();
    const answer seen = waiting.get();
    EXPECT_EQ(seen.status, 200u) << seen.body;
    EXPECT_EQ(it.engine_total("loads"), 1);
    EXPECT_TRUE(it.is_memory_respected());
    EXPECT_NE(it.holder_index("placement-0", other), owner);
}

TEST_P(owner_failures, a_paused_owner_that_resumes_orders_no_load)
{
    engine_options options;
    options.fencing = GetParam();
    fleet it(3, 2, options);
    const std::size_t owner = it.holder_index("placement-0", 0);
    const std::size_t other = other_daemon(owner, it);
    EXPECT_EQ(it.complete(other, "m1").status, 200u);
    it.daemons[owner].program->pause();
    EXPECT_TRUE(eventually(
        [&] { return it.holder_index("placement-0", other) != owner; }));
    const answer seen = it.complete(other, "m2");
    EXPECT_EQ(seen.status, 200u) << seen.body;
    it.daemons[owner].program->resume();
    EXPECT_TRUE(eventually(
        [&]
        {
            return it.holder_of("placement-0", owner) ==
                   it.holder_of("placement-0", other);
        }));
    EXPECT_EQ(it.complete(owner, "m1").status, 200u);
    EXPECT_EQ(it.complete(owner, "m2").status, 200u);
    EXPECT_EQ(it.engine_total("loads"), 2);
    EXPECT_TRUE(it.is_memory_respected());
}

INSTANTIATE_TEST_SUITE_P(engines, owner_failures,
                         testing::Values("honour", "ignore"),
                         [](const auto& it) { return std::string(it.param); });

TEST(placement, models_that_do_not_fit_together_are_swapped)
{
    engine_options options;
    options.memory = "10000";
    fleet it(2, 1, options);
    it.apply("model", "m3", R"({"bytes":4000})");
    ASSERT_TRUE(it.is_applied_everywhere(
        "model", "m3", it.apply("model", "m3", R"({"bytes":4000})")));
    for (const char* model : {"m1", "m2", "m3", "m1", "m3", "m2"})
    {
        const answer seen = it.complete(0, model);
        EXPECT_EQ(seen.status, 200u) << model << seen.body;
    }
    EXPECT_TRUE(it.is_memory_respected());
}

TEST(placement, requests_for_a_failing_load_are_refused_as_not_run)
{
    fleet it(2, 1);
    it.set_fault(it.engines[0], R"({"fail_loads":true})");
    const answer seen = it.complete(0, "m1");
    EXPECT_EQ(seen.status, 503u);
    EXPECT_TRUE(seen.is_not_run());
    it.set_fault(it.engines[0], R"({"fail_loads":false})");
    EXPECT_TRUE(eventually([&] { return it.complete(0, "m1").status == 200; }));
}

TEST(platform, serving_goes_on_through_an_outage_longer_than_every_lease)
{
    fleet it(3, 2);
    EXPECT_EQ(it.complete(0, "m1").status, 200u);
    ASSERT_TRUE(eventually([&] { return it.complete(1, "m1").status == 200; }));
    it.set_fault(it.platform, R"({"outage":true})");
    std::this_thread::sleep_for(milliseconds(4'000));
    for (std::size_t n = 0; n < 3; ++n)
    {
        EXPECT_EQ(it.complete(n, "m1").status, 200u);
    }
    // All leases have expired, so that no daemon may order a load; the request
    // must be refused within its deadline and marked as not run.
    const answer cold = it.complete(0, "m2");
    EXPECT_EQ(cold.status, 503u);
    EXPECT_TRUE(cold.is_not_run());
    const answer change = call(it.daemons[0].operators, http::verb::put,
                               "/configuration/model/m9", R"({"bytes":1})");
    EXPECT_EQ(change.status, 503u);
    it.set_fault(it.platform, R"({"outage":false})");
    EXPECT_TRUE(eventually([&] { return it.complete(2, "m2").status == 200; }));
    EXPECT_EQ(it.engine_total("loads"), 2);
}

TEST(platform,
     a_write_with_a_lost_response_is_resolved_before_the_operator_gets_a_reply)
{
    fleet it(2, 1);
    it.set_fault(it.platform, R"({"lose_answers":1})");
    const auto before = read_stat(it.platform.address, "conflicts");
    const std::int64_t version = it.apply("model", "m5", R"({"bytes":10})", 1);
    EXPECT_GT(version, 0);
    EXPECT_TRUE(it.is_applied_everywhere("model", "m5", version));
    (void)before;
}

TEST(platform, concurrent_operator_writes_get_distinct_versions)
{
    fleet it(2, 1);
    for (int round = 0; round < 10; ++round)
    {
        const auto put = [&](std::size_t n)
        {
            return call(it.daemons[n].operators, http::verb::put,
                        "/configuration/model/raced",
                        R"({"bytes":)" + std::to_string(10 + n) + "}");
        };
        auto first = std::async(std::launch::async, put, 0);
        auto second = std::async(std::launch::async, put, 1);
        const answer a = first.get();
        const answer b = second.get();
        for (const answer* each : {&a, &b})
        {
            EXPECT_TRUE(each->status == 200 || each->status == 409)
                << each->body;
        }
        EXPECT_TRUE(a.status == 200 || b.status == 200);
        const auto version_of = [](const answer& each)
        {
            return each.status == 200
                       ? json_reader(parse_json_object(each.body))
                             .integer("version")
                       : 0;
        };
        EXPECT_NE(version_of(a), version_of(b));
        EXPECT_TRUE(it.is_applied_everywhere(
            "model", "raced", std::max(version_of(a), version_of(b))));
    }
}

TEST(keys, a_withdrawn_key_ends_its_streams_and_stays_withdrawn)
{
    engine_options slow;
    slow.token_us = "50000";
    fleet it(2, 1, slow);
    EXPECT_EQ(it.complete(0, "m1", "key-of-a", 1).status, 200u);
    open_stream stream(it.daemons[0].callers, "m1", "key-of-a", 400);
    ASSERT_EQ(stream.status(), 200u);
    // The key is withdrawn through the other daemon.
    EXPECT_EQ(call(it.daemons[1].operators, http::verb::delete_,
                   "/configuration/key/a")
                  .status,
              200u);
    EXPECT_FALSE(stream.reads_to_its_end());
    EXPECT_TRUE(eventually([&] { return it.engine_total("cancelled") == 1; }));
    EXPECT_TRUE(eventually([&] { return it.complete(0, "m1").status == 401; }));
    it.restart_daemon(0);
    EXPECT_EQ(it.complete(0, "m1").status, 401u);
    EXPECT_EQ(it.complete(1, "m1").status, 401u);
}

TEST(leaving, a_leaving_server_gets_no_new_requests)
{
    fleet it(2, 2);
    EXPECT_EQ(it.complete(0, "m1").status, 200u);
    const std::size_t first =
        read_stat(it.engines[0].address, "loads") == 1 ? 0 : 1;
    it.update_host("engine-" + std::to_string(first),
                   it.engine_spec(first, R"(,"leaving":true)"));
    ASSERT_TRUE(eventually(
        [&]
        {
            const auto before =
                read_stat(it.engines[first].address, "requests");
            const bool is_served = it.complete(0, "m1").status == 200 &&
                                   it.complete(1, "m1").status == 200;
            return is_served &&
                   read_stat(it.engines[first].address, "requests") == before;
        }));
    const auto before = read_stat(it.engines[first].address, "requests");
    for (int n = 0; n < 20; ++n)
    {
        EXPECT_EQ(it.complete(0, "m1").status, 200u);
    }
    EXPECT_EQ(read_stat(it.engines[first].address, "requests"), before);
}

TEST(leaving, a_stopping_daemon_completes_its_streams)
{
    engine_options slow;
    slow.token_us = "20000";
    fleet it(2, 1, slow);
    EXPECT_EQ(it.complete(0, "m1", "key-of-a", 1).status, 200u);
    std::vector<std::future<answer>> streams;
    streams.reserve(5);
    for (int n = 0; n < 5; ++n)
    {
        streams.push_back(std::async(
            std::launch::async,
            [&] { return it.complete(0, "m1", "key-of-a", 100, true); }));
    }
    ASSERT_TRUE(eventually([&] { return it.engine_total("requests") == 6; }));
    it.daemons[0].program->signal(SIGTERM);
    for (auto& each : streams)
    {
        const answer seen = each.get();
        EXPECT_EQ(seen.status, 200u);
        EXPECT_NE(seen.body.find("data: [DONE]"), std::string::npos);
    }
    EXPECT_EQ(it.daemons[0].program->wait(), 0);
    EXPECT_EQ(it.complete(1, "m1", "key-of-a", 1).status, 200u);
}

TEST(leaving, an_interrupted_stream_never_looks_complete)
{
    engine_options slow;
    slow.token_us = "50000";
    fleet it(1, 1, slow);
    EXPECT_EQ(it.complete(0, "m1", "key-of-a", 1).status, 200u);
    auto stream =
        std::async(std::launch::async,
                   [&] { return it.complete(0, "m1", "key-of-a", 400, true); });
    ASSERT_TRUE(eventually([&] { return it.engine_total("requests") == 2; }));
    it.engines[0].program->kill();
    // The chunked response lacks its last chunk, so that the caller's read
    // fails.
    EXPECT_EQ(stream.get().status, 0u);
}

answer post_once(const fleet& it, std::size_t daemon, const std::string& key,
                 const std::string& body)
{
    return call(it.daemons[daemon].callers, http::verb::post,
                "/services/ledger/post", body,
                {{"Authorization", "Bearer key-of-a"},
                 {"Idempotency-Key", key},
                 {"X-Request-Id", key}});
}

/// Number of executions of the request with this id by the plain service.
std::int64_t runs_of(const fleet& it, const std::string& id)
{
    const boost::json::object json = parse_json_object(
        call(it.plain_service.address, http::verb::get, "/stats").body);
    return json_reader(json_reader(json).object("runs")).integer_or(id, 0);
}

TEST(once, a_repeat_through_another_daemon_gets_the_saved_answer)
{
    fleet it(3, 1);
    const answer first = post_once(it, 0, "k1", "{}");
    EXPECT_EQ(first.status, 200u) << first.body;
    answer second;
    EXPECT_TRUE(eventually(
        [&]
        {
            second = post_once(it, 1, "k1", "{}");
            return second.status == 200;
        }));
    EXPECT_EQ(second.body, first.body);
    const answer other = post_once(it, 2, "k1", R"({"n":2})");
    EXPECT_EQ(other.status, 422u);
    EXPECT_EQ(other.refusal(), "key-reused");
    EXPECT_EQ(runs_of(it, "k1"), 1);
}

TEST(once, racing_repeats_run_once)
{
    fleet it(3, 1);
    it.set_fault(it.plain_service, R"({"work_ms":300})");
    std::vector<std::future<answer>> repeats;
    repeats.reserve(9);
    for (std::size_t n = 0; n < 9; ++n)
    {
        repeats.push_back(
            std::async(std::launch::async,
                       [&, n] { return post_once(it, n % 3, "k2", "{}"); }));
    }
    // A repeat that comes when the run has ended gets its saved answer, which
    // has the number of the run.
    std::set<std::string> served;
    for (auto& each : repeats)
    {
        const answer seen = each.get();
        if (seen.status == 200)
        {
            served.insert(seen.body);
            continue;
        }
        EXPECT_EQ(seen.refusal(), "request-running") << seen.body;
    }
    EXPECT_EQ(served.size(), 1U);
    EXPECT_EQ(runs_of(it, "k2"), 1);
}

TEST(once, a_lost_response_is_reported_as_unknown_and_never_rerun)
{
    fleet it(2, 1);
    it.set_fault(it.plain_service, R"({"lose_answers":1})");
    const answer first = post_once(it, 0, "k3", "{}");
    EXPECT_EQ(first.status, 504u);
    EXPECT_EQ(first.refusal(), "outcome-unknown");
    EXPECT_FALSE(first.is_not_run());
    for (std::size_t n = 0; n < 4; ++n)
    {
        EXPECT_NE(post_once(it, n % 2, "k3", "{}").status, 200u);
    }
    EXPECT_EQ(runs_of(it, "k3"), 1);
}

TEST(once, the_ledger_survives_its_owner_and_refuses_during_an_outage)
{
    fleet it(3, 1);
    EXPECT_EQ(post_once(it, 0, "k4", "{}").status, 200u);
    const std::size_t owner = it.holder_index("once-0", 0);
    const std::size_t other = other_daemon(owner, it);
    std::this_thread::sleep_for(milliseconds(300));
    it.daemons[owner].program->kill();
    it.daemons[owner].program->wait();
    const answer repeat = post_once(it, other, "k4", "{}");
    EXPECT_EQ(repeat.status, 200u) << repeat.body;
    EXPECT_EQ(runs_of(it, "k4"), 1);
    it.set_fault(it.platform, R"({"outage":true})");
    const answer refused = post_once(it, other, "k5", "{}");
    EXPECT_EQ(refused.status, 503u) << refused.body;
    EXPECT_TRUE(refused.is_not_run());
    EXPECT_EQ(runs_of(it, "k5"), 0);
    it.set_fault(it.platform, R"({"outage":false})");
}

TEST(suspects, a_request_that_crashes_servers_crashes_at_most_two)
{
    fleet it(3, 5);
    EXPECT_EQ(it.complete(0, "m1").status, 200u);
    for (const auto& engine : it.engines)
    {
        it.set_fault(engine, R"({"crash_on":"poison"})");
    }
    std::vector<answer> answers;
    answers.reserve(6);
    for (std::size_t n = 0; n < 6; ++n)
    {
        answers.push_back(
            it.complete(n % 3, "m1", "key-of-a", 2, false, "poison"));
    }
    int crashed = 0;
    for (const auto& engine : it.engines)
    {
        crashed += call(engine.address, http::verb::get, "/stats").status == 0;
    }
    EXPECT_LE(crashed, 2);
    for (std::size_t n = 1; n < answers.size(); ++n)
    {
        EXPECT_EQ(answers[n].refusal(), "suspect-request") << answers[n].body;
    }
    EXPECT_TRUE(eventually([&] { return it.complete(1, "m1").status == 200; }));
}

TEST(admission, an_overload_is_served_or_refused_within_the_slots)
{
    engine_options slow;
    slow.token_us = "20000";
    slow.slots = "4";
    fleet it(1, 1, slow);
    it.apply("class", "default",
             R"({"first_token_within_ms":1000,"refusals_percent":1})");
    EXPECT_EQ(it.complete(0, "m1", "key-of-a", 1).status, 200u);
    std::vector<std::future<answer>> flood;
    flood.reserve(40);
    for (int n = 0; n < 40; ++n)
    {
        flood.push_back(
            std::async(std::launch::async,
                       [&] { return it.complete(0, "m1", "key-of-a", 10); }));
    }
    int served = 0;
    for (auto& each : flood)
    {
        const answer seen = each.get();
        served += seen.status == 200;
        EXPECT_TRUE(seen.status == 200 || seen.is_not_run()) << seen.body;
    }
    EXPECT_GE(served, 8);
    EXPECT_LE(it.engine_total("most_running"), 4);
    EXPECT_EQ(it.engine_total("requests"), served + 1);
}

TEST(rates, limits_hold_across_daemons)
{
    fleet it(3, 1);
    it.apply("organisation", "b",
             R"({"tokens_per_second":1000,"burst_tokens":2000})");
    const auto version = it.apply("key", "b",
                                  R"({"organisation":"b","sha256":")" +
                                      hash_of_key("key-of-b").value() + "\"}");
    ASSERT_TRUE(it.is_applied_everywhere("key", "b", version));
    EXPECT_EQ(it.complete(0, "m1").status, 200u);
    const time_point start = monotonic_clock::now();
    // Each request costs 100 tokens plus a few for its prompt.
    int served = 0;
    for (int n = 0; n < 150; ++n)
    {
        const answer seen =
            it.complete(static_cast<std::size_t>(n % 3), "m1", "key-of-b", 100);
        served += seen.status == 200;
        EXPECT_TRUE(seen.status == 200 || seen.refusal() == "over-rate")
            << seen.body;
    }
    const double elapsed =
        std::chrono::duration<double>(monotonic_clock::now() - start).count();
    EXPECT_LE(served * 100, 2000 + 1000 * elapsed);
    EXPECT_GT(served, 5);
}

} // namespace
} // namespace cicadahub::system_tests
