#include "fleet.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

/// Another daemon than the given one.
std::size_t other_than(std::size_t n, const fleet& it)
{
    return (n + 1) % it.nodes.size();
}

class owner_failures : public testing::TestWithParam<const char*>
{
};

TEST_P(owner_failures, a_killed_owner_costs_no_second_load)
{
    engine_options options;
    options.fencing = GetParam();
    fleet it(3, 2, options);
    const std::size_t owner = it.holder_number("placement-0", 0);
    const std::size_t asked = other_than(owner, it);
    // The owner dies while the load that it ordered is under way.
    auto waiting = std::async(std::launch::async,
                              [&] { return it.complete(asked, "m1"); });
    EXPECT_TRUE(eventually(
        [&]
        {
            return it.nodes[owner].program->output().find("load_ordered") !=
                   std::string::npos;
        }));
    it.nodes[owner].program->kill();
    it.nodes[owner].program->wait();
    const answer seen = waiting.get();
    EXPECT_EQ(seen.status, 200u) << seen.body;
    EXPECT_EQ(it.engine_total("loads"), 1);
    EXPECT_TRUE(it.is_memory_respected());
    EXPECT_NE(it.holder_number("placement-0", asked), owner);
}

TEST_P(owner_failures, a_frozen_owner_that_wakes_does_no_harm)
{
    engine_options options;
    options.fencing = GetParam();
    fleet it(3, 2, options);
    const std::size_t owner = it.holder_number("placement-0", 0);
    const std::size_t asked = other_than(owner, it);
    EXPECT_EQ(it.complete(asked, "m1").status, 200u);
    it.nodes[owner].program->freeze();
    EXPECT_TRUE(eventually(
        [&] { return it.holder_number("placement-0", asked) != owner; }));
    const answer seen = it.complete(asked, "m2");
    EXPECT_EQ(seen.status, 200u) << seen.body;
    it.nodes[owner].program->thaw();
    EXPECT_TRUE(eventually(
        [&]
        {
            return it.holder_of("placement-0", owner) ==
                   it.holder_of("placement-0", asked);
        }));
    EXPECT_EQ(it.complete(owner, "m1").status, 200u);
    EXPECT_EQ(it.complete(owner, "m2").status, 200u);
    EXPECT_EQ(it.engine_total("loads"), 2);
    EXPECT_TRUE(it.is_memory_respected());
}

INSTANTIATE_TEST_SUITE_P(engines, owner_failures,
                         testing::Values("honour", "ignore"),
                         [](const auto& it) { return std::string(it.param); });

TEST(placement, models_that_do_not_fit_together_take_turns)
{
    engine_options options;
    options.memory = "10000";
    fleet it(2, 1, options);
    it.apply("model", "m3", R"({"bytes":4000})");
    ASSERT_TRUE(it.is_in_force("model", "m3",
                               it.apply("model", "m3", R"({"bytes":4000})")));
    for (const char* model : {"m1", "m2", "m3", "m1", "m3", "m2"})
    {
        const answer seen = it.complete(0, model);
        EXPECT_EQ(seen.status, 200u) << model << seen.body;
    }
    EXPECT_TRUE(it.is_memory_respected());
}

TEST(placement, failing_loads_are_refused_truthfully)
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
    // Nobody may decide a load now; the refusal comes in time and is true.
    const answer cold = it.complete(0, "m2");
    EXPECT_EQ(cold.status, 503u);
    EXPECT_TRUE(cold.is_not_run());
    const answer change = call(it.nodes[0].operators, http::verb::put,
                               "/configuration/model/m9", R"({"bytes":1})");
    EXPECT_EQ(change.status, 503u);
    it.set_fault(it.platform, R"({"outage":false})");
    EXPECT_TRUE(eventually([&] { return it.complete(2, "m2").status == 200; }));
    EXPECT_EQ(it.engine_total("loads"), 2);
}

TEST(platform, a_lost_answer_is_found_out_before_the_operator_is_told)
{
    fleet it(2, 1);
    it.set_fault(it.platform, R"({"lose_answers":1})");
    const auto before = stat(it.platform.address, "conflicts");
    const std::int64_t version = it.apply("model", "m5", R"({"bytes":10})", 1);
    EXPECT_GT(version, 0);
    EXPECT_TRUE(it.is_in_force("model", "m5", version));
    (void)before;
}

TEST(platform, two_operators_that_race_are_both_told_the_truth)
{
    fleet it(2, 1);
    for (int round = 0; round < 10; ++round)
    {
        const auto put = [&](std::size_t n)
        {
            return call(it.nodes[n].operators, http::verb::put,
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
                             .whole("version")
                       : 0;
        };
        EXPECT_NE(version_of(a), version_of(b));
        EXPECT_TRUE(it.is_in_force("model", "raced",
                                   std::max(version_of(a), version_of(b))));
    }
}

TEST(keys, a_withdrawn_key_ends_its_streams_and_stays_withdrawn)
{
    engine_options slow;
    slow.token_us = "50000";
    fleet it(2, 1, slow);
    EXPECT_EQ(it.complete(0, "m1", "key-of-a", 1).status, 200u);
    auto stream =
        std::async(std::launch::async,
                   [&] { return it.complete(0, "m1", "key-of-a", 400, true); });
    ASSERT_TRUE(eventually([&] { return it.engine_total("requests") == 2; }));
    // Withdrawn through the other daemon.
    EXPECT_EQ(
        call(it.nodes[1].operators, http::verb::delete_, "/configuration/key/a")
            .status,
        200u);
    EXPECT_EQ(stream.get().status, 0u);
    EXPECT_TRUE(eventually([&] { return it.engine_total("cancelled") == 1; }));
    EXPECT_TRUE(eventually([&] { return it.complete(0, "m1").status == 401; }));
    it.restart_daemon(0);
    EXPECT_EQ(it.complete(0, "m1").status, 401u);
    EXPECT_EQ(it.complete(1, "m1").status, 401u);
}

TEST(leaving, a_leaving_server_gets_nothing_new)
{
    fleet it(2, 2);
    EXPECT_EQ(it.complete(0, "m1").status, 200u);
    const std::size_t first = stat(it.engines[0].address, "loads") == 1 ? 0 : 1;
    it.update_host("engine-" + std::to_string(first),
                   it.engine_spec(first, R"(,"leaving":true)"));
    ASSERT_TRUE(eventually(
        [&]
        {
            const auto before = stat(it.engines[first].address, "requests");
            const bool is_served = it.complete(0, "m1").status == 200 &&
                                   it.complete(1, "m1").status == 200;
            return is_served &&
                   stat(it.engines[first].address, "requests") == before;
        }));
    const auto before = stat(it.engines[first].address, "requests");
    for (int n = 0; n < 20; ++n)
    {
        EXPECT_EQ(it.complete(0, "m1").status, 200u);
    }
    EXPECT_EQ(stat(it.engines[first].address, "requests"), before);
}

TEST(leaving, a_daemon_told_to_stop_cuts_no_request)
{
    engine_options slow;
    slow.token_us = "20000";
    fleet it(2, 1, slow);
    EXPECT_EQ(it.complete(0, "m1", "key-of-a", 1).status, 200u);
    std::vector<std::future<answer>> streams;
    for (int n = 0; n < 5; ++n)
    {
        streams.push_back(std::async(
            std::launch::async,
            [&] { return it.complete(0, "m1", "key-of-a", 100, true); }));
    }
    ASSERT_TRUE(eventually([&] { return it.engine_total("requests") == 6; }));
    it.nodes[0].program->signal(SIGTERM);
    for (auto& each : streams)
    {
        const answer seen = each.get();
        EXPECT_EQ(seen.status, 200u);
        EXPECT_NE(seen.body.find("data: [DONE]"), std::string::npos);
    }
    EXPECT_EQ(it.nodes[0].program->wait(), 0);
    EXPECT_EQ(it.complete(1, "m1", "key-of-a", 1).status, 200u);
}

TEST(leaving, a_stream_that_breaks_off_never_looks_complete)
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
    // A chunked answer without its end fails at the caller.
    EXPECT_EQ(stream.get().status, 0u);
}

} // namespace
} // namespace cicadahub::system_tests
