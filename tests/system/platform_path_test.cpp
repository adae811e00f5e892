#include "platform_fleet.hpp"
#include "raw_call.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <future>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

constexpr int events_per_stream = 8;

bool is_complete_stream(const answer& it)
{
    return it.status == 200 &&
           count_occurrences(it.body, "data: piece") == events_per_stream &&
           count_occurrences(it.body, "id: 1\n") == 1;
}

TEST(platform_path, serves_each_kind_of_request)
{
    platform_fleet fleet(2);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "r1", "m1")));
    EXPECT_EQ(fleet.plain(1, "r2", http::verb::post, "/post/1").status, 200U);
    EXPECT_EQ(fleet.plain(0, "r3", http::verb::get, "/read/1").status, 200U);
    EXPECT_EQ(fleet.engine_total("keys_seen"), 0);
    EXPECT_EQ(read_stat(fleet.services[0].address, "keys_seen") +
                  read_stat(fleet.services[1].address, "keys_seen"),
              0);
}

TEST(platform_path, refuses_what_the_configuration_does_not_allow)
{
    platform_fleet fleet(1);
    EXPECT_EQ(fleet.plain(0, "r1", http::verb::get, "/read/1", "wrong").status,
              401U);
    EXPECT_EQ(fleet.plain(0, "r2", http::verb::get, "/elsewhere/1").status,
              404U);
    EXPECT_EQ(call(fleet.daemons[0].callers, http::verb::post, "/post/1",
                   std::string(70'000, 'x'), {{"Host", "trust.example"}})
                  .status,
              413U);
    EXPECT_EQ(
        call(fleet.daemons[0].callers, http::verb::get, "/read/1", "",
             {{"Host", "trust.example"}, {"X-Large", std::string(5'000, 'x')}})
            .status,
        431U);
}

struct raw_case
{
    const char* name;
    const char* fields_and_body;
    unsigned status;
};

class raw_requests : public testing::TestWithParam<raw_case>
{
};

TEST_P(raw_requests, are_accepted_only_with_unambiguous_framing)
{
    const platform_fleet fleet(1);
    const std::string bytes =
        "POST /post/1 HTTP/1.1\r\nHost: trust.example\r\nRequest-Id: r\r\n"
        "Authorization: Bearer key-of-trust\r\n" +
        std::string(GetParam().fields_and_body);
    EXPECT_EQ(status_of_raw(fleet.daemons[0].callers, bytes),
              GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    cases, raw_requests,
    testing::Values(
        raw_case{"one_length", "Content-Length: 2\r\n\r\nhi", 200},
        raw_case{"chunks",
                 "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200},
        raw_case{"two_lengths",
                 "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhix", 400},
        raw_case{"two_equal_lengths",
                 "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", 400},
        raw_case{"length_and_chunks",
                 "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\n",
                 400},
        raw_case{"unknown_coding",
                 "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
        raw_case{"signed_length", "Content-Length: +2\r\n\r\nhi", 400}),
    [](const auto& it) { return std::string(it.param.name); });

// A caller that cannot read chunks would take their framing for a part of the
// body, and a close inside the stream for its end.
TEST(platform_path, a_caller_without_chunks_gets_streams_that_end_by_close)
{
    platform_fleet fleet(1);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "warm", "m1")));
    const auto stream_to_old_caller = [&](const std::string& id)
    {
        return receive_until_close(
            fleet.daemons[0].callers,
            "POST /once/x HTTP/1.0\r\nHost: trust.example\r\nRequest-Id: " +
                id +
                "\r\nAuthorization: Bearer key-of-trust\r\nModel: m1\r\n"
                "Token-Count: 20,16\r\nContent-Length: 0\r\n\r\n");
    };
    const raw_answer whole = stream_to_old_caller("whole");
    EXPECT_EQ(whole.bytes.find("chunked"), std::string::npos);
    EXPECT_TRUE(whole.bytes.ends_with("id: 8\ndata: piece\n\n")) << whole.bytes;
    EXPECT_FALSE(whole.is_reset);
    for (const auto& it : fleet.engines)
    {
        fleet.set_fault(it.address, R"({"break_streams":1})");
    }
    EXPECT_TRUE(stream_to_old_caller("broken").is_reset);
}

TEST(platform_path, a_burst_for_a_cold_model_is_served_by_one_load)
{
    platform_fleet fleet(2);
    constexpr int burst = 6;
    std::vector<std::future<answer>> answers;
    answers.reserve(burst);
    for (int n = 0; n < burst; ++n)
    {
        answers.push_back(std::async(std::launch::async,
                                     [&, n]
                                     {
                                         return fleet.stream(
                                             static_cast<std::size_t>(n % 2),
                                             "cold-" + std::to_string(n), "m3");
                                     }));
    }
    for (auto& it : answers)
    {
        EXPECT_TRUE(is_complete_stream(it.get()));
    }
    EXPECT_EQ(fleet.engine_total("most_runs_of_one"), 1);
    EXPECT_TRUE(fleet.is_memory_respected());
}

TEST(platform_path, an_adapter_is_loaded_for_the_request_that_needs_it)
{
    platform_fleet fleet(2);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "r1", "m1/a1")));
    EXPECT_TRUE(is_complete_stream(fleet.stream(1, "r2", "m1/a2")));
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "r3", "m1/a3")));
}

TEST(platform_path, a_new_configuration_and_a_withdrawn_key_take_effect)
{
    platform_fleet fleet(2);
    EXPECT_EQ(fleet.plain(0, "r1", http::verb::get, "/new/1").status, 404U);
    fleet.write_configuration(2, {"another-key"}, {"/new/"});
    for (const std::size_t n : {0U, 1U})
    {
        EXPECT_TRUE(eventually(
            [&]
            {
                return fleet
                           .plain(n, "r2", http::verb::get, "/new/1",
                                  "another-key")
                           .status == 200;
            }));
        EXPECT_EQ(fleet.plain(n, "r3", http::verb::get, "/read/1").status,
                  401U);
    }
}

// Guards against missed configuration changes after the store loses its pending
// watches without closing their connections.
TEST(platform_path, a_configuration_arrives_although_the_store_lost_the_watch)
{
    platform_fleet fleet(1);
    fleet.set_fault(fleet.store, R"({"lose_watches":true})");
    fleet.write_configuration(2, {"key-of-trust"}, {"/new/"});
    EXPECT_TRUE(eventually(
        [&] {
            return fleet.plain(0, "r", http::verb::get, "/new/1").status == 200;
        },
        milliseconds(4'000)));
}

// Only the first two daemons by name watch the store with a short timeout. The
// others use a timeout of ten seconds and would miss the limit below without a
// notification from the first two.
TEST(platform_path, watching_daemons_notify_the_others_of_a_configuration)
{
    platform_fleet fleet(4);
    fleet.set_fault(fleet.store, R"({"lose_watches":true})");
    fleet.write_configuration(2, {"key-of-trust"}, {"/new/"});
    for (std::size_t n = 0; n < fleet.daemons.size(); ++n)
    {
        EXPECT_TRUE(eventually(
            [&] {
                return fleet.plain(n, "r", http::verb::get, "/new/1").status ==
                       200;
            },
            milliseconds(4'000)));
    }
}

TEST(platform_path, a_compacted_history_triggers_a_relist)
{
    platform_fleet fleet(1);
    fleet.write_configuration(2, {"key-of-trust"}, {"/new/"});
    fleet.set_fault(fleet.store, R"({"forget":true})");
    EXPECT_TRUE(eventually(
        [&] {
            return fleet.plain(0, "r", http::verb::get, "/new/1").status == 200;
        }));
}

TEST(platform_path, a_leaving_server_gets_no_new_requests)
{
    platform_fleet fleet(1);
    fleet.set_fault(fleet.services[0].address, R"({"draining":true})");
    const auto runs = [&]
    {
        return read_stat(fleet.services[0].address, "runs");
    };
    std::int64_t before = -1;
    EXPECT_TRUE(eventually(
        [&]
        {
            const std::int64_t last = std::exchange(before, runs());
            for (int n = 0; n < 6; ++n)
            {
                fleet.plain(0, "r" + std::to_string(n), http::verb::get,
                            "/read/1");
            }
            return last == runs();
        }));
}

struct break_case
{
    const char* name;
    const char* faults;
};

void PrintTo(const break_case& it, std::ostream* out)
{
    *out << it.name;
}

class interrupted_streams : public testing::TestWithParam<break_case>
{
protected:
    platform_fleet start() const
    {
        platform_fleet fleet(1);
        EXPECT_TRUE(is_complete_stream(fleet.stream(0, "warm", "m1")));
        for (const auto& it : fleet.engines)
        {
            fleet.set_fault(it.address, GetParam().faults);
        }
        return fleet;
    }
};

TEST_P(interrupted_streams, resume_after_their_last_event)
{
    const platform_fleet fleet = start();
    const answer it = fleet.stream(0, "broken", "m1");
    EXPECT_EQ(it.status, 200U);
    for (int n = 1; n <= events_per_stream; ++n)
    {
        EXPECT_EQ(count_occurrences(it.body, "id: " + std::to_string(n) + "\n"),
                  1U)
            << it.body;
    }
}

// Guards against a stream that broke off and reaches its caller as if it were
// complete, where the route does not allow to resume it.
TEST_P(interrupted_streams, never_look_complete)
{
    const platform_fleet fleet = start();
    EXPECT_EQ(fleet.stream(0, "broken", "m1", "key-of-trust", "/once/x").status,
              0U);
    EXPECT_EQ(fleet.engine_total("most_runs_of_one"), 1);
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, interrupted_streams,
    testing::Values(break_case{"chunked", R"({"break_streams":1})"},
                    break_case{"unframed",
                               R"({"break_streams":1,"unframed":true})"}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(platform_path, responses_without_length_or_chunks_are_complete)
{
    platform_fleet fleet(1);
    for (const auto* group : {&fleet.engines, &fleet.services})
    {
        for (const auto& it : *group)
        {
            fleet.set_fault(it.address, R"({"unframed":true})");
        }
    }
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "r1", "m1")));
    const answer read = fleet.plain(0, "r2", http::verb::get, "/read/1");
    EXPECT_EQ(read.status, 200U);
    EXPECT_NE(read.body.find("\"path\":\"/read/1\""), std::string::npos);
}

/// Sends reads through a daemon until no further one reaches the server.
bool gets_nothing_more(const platform_fleet& fleet, std::size_t daemon,
                       const std::string& server)
{
    constexpr int reads = 8;
    const auto runs = [&]
    {
        return read_stat(server, "runs");
    };
    return eventually(
        [&]
        {
            const std::int64_t before = runs();
            for (int n = 0; n < reads; ++n)
            {
                fleet.plain(daemon, "r" + std::to_string(n), http::verb::get,
                            "/read/1");
            }
            return runs() == before;
        });
}

// The store may hear of a leaving server late or never; its own responses tell
// at once, and one host tells the others.
TEST(platform_path, a_server_that_announces_its_leave_gets_nothing_more)
{
    platform_fleet fleet(2);
    const std::string leaving = fleet.services[0].address;
    fleet.set_fault(leaving, R"({"leaving":true})");
    EXPECT_TRUE(gets_nothing_more(fleet, 0, leaving));
    // The other daemon has sent nothing to the server; it learns from its peer.
    const std::int64_t before = read_stat(leaving, "runs");
    EXPECT_TRUE(eventually(
        [&]
        {
            return fleet.daemons[1].program->output().find(
                       R"("seen_in":"peer")") != std::string::npos;
        }));
    EXPECT_TRUE(gets_nothing_more(fleet, 1, leaving));
    EXPECT_EQ(read_stat(leaving, "runs"), before);
}

// A leaving engine must not be the only one with a model: the model is loaded
// elsewhere without the store's notice.
TEST(platform_path, models_of_an_engine_that_announces_its_leave_move)
{
    platform_fleet fleet(1);
    fleet.set_fault(fleet.engines[0].address, R"({"leaving":true})");
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "first", "m1")));
    const std::int64_t runs = read_stat(fleet.engines[0].address, "runs");
    EXPECT_TRUE(eventually(
        [&] { return is_complete_stream(fleet.stream(0, "next", "m1")); }));
    EXPECT_EQ(read_stat(fleet.engines[0].address, "runs"), runs);
}

TEST(platform_path, a_server_that_asks_for_a_pause_gets_none_until_its_end)
{
    platform_fleet fleet(1);
    const std::string paused = fleet.services[0].address;
    fleet.set_fault(paused, R"({"shed_s":2})");
    const time_point begin = monotonic_clock::now();
    for (int n = 0; monotonic_clock::now() < begin + seconds(2); ++n)
    {
        EXPECT_EQ(
            fleet.plain(0, "r" + std::to_string(n), http::verb::get, "/read/1")
                .status,
            200U);
    }
    EXPECT_EQ(read_stat(paused, "arrivals_in_pause"), 0);
    const std::int64_t before = read_stat(paused, "runs");
    EXPECT_TRUE(eventually(
        [&]
        {
            fleet.plain(0, "later", http::verb::get, "/read/1");
            return read_stat(paused, "runs") > before;
        }));
}

TEST(platform_path, requests_wait_for_a_pause_that_ends_in_time)
{
    platform_fleet fleet(1);
    for (const auto& it : fleet.services)
    {
        fleet.set_fault(it.address, R"({"shed_s":1})");
    }
    EXPECT_EQ(fleet.plain(0, "r", http::verb::get, "/read/1").status, 200U);
    for (const auto& it : fleet.services)
    {
        EXPECT_EQ(read_stat(it.address, "arrivals_in_pause"), 0);
    }
}

// The caller leaves after 3 s: it is told at once when the servers are back.
TEST(platform_path, requests_are_refused_at_once_for_a_pause_that_is_too_long)
{
    platform_fleet fleet(1);
    for (const auto& it : fleet.services)
    {
        fleet.set_fault(it.address, R"({"shed_s":20})");
    }
    const time_point begin = monotonic_clock::now();
    const std::string answer =
        receive_until_close(fleet.daemons[0].callers,
                            "GET /read/1 HTTP/1.1\r\nHost: trust.example\r\n"
                            "Authorization: Bearer key-of-trust\r\n"
                            "Request-Id: r\r\nDeadline-Ms: 3000\r\n"
                            "Connection: close\r\n\r\n")
            .bytes;
    EXPECT_LT(monotonic_clock::now() - begin, seconds(1));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    const std::string field = "Retry-After: ";
    const std::size_t at = answer.find(field);
    ASSERT_NE(at, std::string::npos) << answer;
    const double retry_after_s = std::stod(answer.substr(at + field.size()));
    EXPECT_GT(retry_after_s, 18);
    EXPECT_LT(retry_after_s, 21);
}

TEST(platform_path, a_lost_response_is_retried_only_on_a_safe_route)
{
    platform_fleet fleet(1);
    for (const auto& it : fleet.services)
    {
        fleet.set_fault(it.address, R"({"lose_answers":1})");
    }
    EXPECT_EQ(fleet.plain(0, "posted", http::verb::post, "/post/1").status,
              502U);
    for (const auto& it : fleet.services)
    {
        EXPECT_LE(read_stat(it.address, "most_runs_of_one"), 1);
    }
    EXPECT_EQ(fleet.plain(0, "read", http::verb::get, "/read/1").status, 200U);
}

TEST(platform_path, serving_goes_on_while_the_store_is_down)
{
    platform_fleet fleet(2);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "r1", "m1")));
    fleet.set_fault(fleet.store, R"({"outage":true})");
    std::this_thread::sleep_for(milliseconds(2'500));
    EXPECT_TRUE(is_complete_stream(fleet.stream(1, "r2", "m1")));
    EXPECT_EQ(fleet.plain(0, "r3", http::verb::get, "/read/1").status, 200U);
}

TEST(platform_path,
     a_daemon_that_starts_without_the_store_is_configured_by_peers)
{
    platform_fleet fleet(2);
    fleet.daemons[1].program->kill();
    fleet.daemons[1].program->wait();
    fleet.set_fault(fleet.store, R"({"outage":true})");
    fleet.start_daemon(1);
    EXPECT_TRUE(eventually([&] { return fleet.is_ready(1); }));
    EXPECT_EQ(fleet.plain(1, "r", http::verb::get, "/read/1").status, 200U);
}

TEST(platform_path, another_daemon_replaces_a_killed_lease_holder)
{
    platform_fleet fleet(2);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "r1", "m3")));
    // Each daemon is killed in turn, so that one of them held the lease; the
    // other one is always running.
    for (const std::size_t n : {0U, 1U})
    {
        fleet.daemons[n].program->kill();
        fleet.daemons[n].program->wait();
        EXPECT_TRUE(eventually(
            [&, m = 1 - n]
            {
                return is_complete_stream(
                    fleet.stream(m, "after", n == 0 ? "m4" : "m2"));
            }));
        fleet.start_daemon(n);
        EXPECT_TRUE(eventually([&] { return fleet.is_ready(n); }));
    }
    EXPECT_EQ(fleet.engine_total("old_fences"), 0);
    EXPECT_TRUE(fleet.is_memory_respected());
}

TEST(platform_path, a_stopping_lease_holder_hands_its_lease_over)
{
    platform_fleet fleet(2);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "r1", "m3")));
    // Each daemon is stopped in turn, so that one of them held the lease.
    for (const std::size_t n : {0U, 1U})
    {
        fleet.daemons[n].program->signal(SIGTERM);
        EXPECT_TRUE(eventually(
            [&, m = 1 - n]
            {
                return is_complete_stream(
                    fleet.stream(m, "after", n == 0 ? "m4" : "m2"));
            }));
        EXPECT_EQ(fleet.daemons[n].program->wait(), 0);
        fleet.start_daemon(n);
        EXPECT_TRUE(eventually([&] { return fleet.is_ready(n); }));
    }
    EXPECT_EQ(fleet.engine_total("old_fences"), 0);
    EXPECT_TRUE(fleet.is_memory_respected());
}

TEST(platform_path, an_order_without_a_response_is_reconciled)
{
    platform_fleet fleet(1);
    for (const auto& it : fleet.engines)
    {
        fleet.set_fault(it.address, R"({"silent_orders":1})");
    }
    EXPECT_TRUE(eventually(
        [&] { return is_complete_stream(fleet.stream(0, "r", "m4")); }));
    EXPECT_TRUE(fleet.is_memory_respected());
}

// A copy that is some seconds old lacks a configuration, a server and a holder
// of the lease that were there before. Callers must not notice.
TEST(restored_store, callers_are_served_by_what_the_daemons_knew)
{
    platform_fleet fleet(2);
    fleet.set_fault(fleet.store, R"({"keep_copy":true})");
    fleet.write_configuration(2, {"another-key"}, {"/new/"});
    fleet.add_worker("ledger", "l3", {});
    const auto read =
        [&](std::size_t n, const std::string& path, const std::string& key)
    {
        return fleet.plain(n, "r", http::verb::get, path, key).status;
    };
    for (const std::size_t n : {0U, 1U})
    {
        EXPECT_TRUE(eventually(
            [&] { return read(n, "/new/1", "another-key") == 200; }));
    }
    for (const auto& it : fleet.daemons)
    {
        EXPECT_TRUE(eventually(
            [&]
            {
                return it.program->output().find(
                           R"("name":"server_listed","daemon":")" + it.name +
                           R"(","server":"l3")") != std::string::npos;
            }));
    }
    fleet.set_fault(fleet.store, R"({"restore":true})");
    const time_point restored = monotonic_clock::now();
    while (monotonic_clock::now() < restored + seconds(3))
    {
        for (const std::size_t n : {0U, 1U})
        {
            EXPECT_EQ(read(n, "/new/1", "another-key"), 200U);
            EXPECT_EQ(read(n, "/read/1", "key-of-trust"), 401U);
        }
    }
    const std::string output = fleet.daemons[0].program->output();
    EXPECT_NE(output.find("store_restored"), std::string::npos);
    EXPECT_EQ(output.find(R"("name":"server_gone")"), std::string::npos);
}

TEST(restored_store, a_configuration_written_after_it_is_applied)
{
    platform_fleet fleet(2);
    fleet.set_fault(fleet.store, R"({"keep_copy":true})");
    // The revisions that these versions get are given out again.
    for (const int version : {2, 3, 4})
    {
        fleet.write_configuration(version, {"key-of-trust"});
    }
    fleet.set_fault(fleet.store, R"({"restore":true})");
    fleet.write_configuration(5, {"key-of-trust"}, {"/new/"});
    for (const std::size_t n : {0U, 1U})
    {
        EXPECT_TRUE(eventually(
            [&] {
                return fleet.plain(n, "r", http::verb::get, "/new/1").status ==
                       200;
            },
            milliseconds(4'000)));
    }
}

// The copy is of a time before the lease was won, or names a former holder.
TEST(restored_store, loads_go_on_under_a_higher_fencing_number)
{
    platform_fleet fleet(2);
    fleet.set_fault(fleet.store, R"({"keep_copy":true})");
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "before", "m3")));
    fleet.set_fault(fleet.store, R"({"restore":true})");
    EXPECT_TRUE(eventually(
        [&] { return is_complete_stream(fleet.stream(1, "after", "m4")); }));
    EXPECT_EQ(fleet.engine_total("old_fences"), 0);
    EXPECT_TRUE(fleet.is_memory_respected());
}

// The former holder sleeps through the restore and wakes while another one
// orders.
TEST(restored_store, a_holder_that_slept_through_it_orders_nothing)
{
    platform_fleet fleet(2);
    fleet.set_fault(fleet.store, R"({"keep_copy":true})");
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "before", "m3")));
    // Each daemon sleeps in turn, so that one of them held the lease.
    for (const std::size_t n : {0U, 1U})
    {
        fleet.daemons[n].program->pause();
        fleet.set_fault(fleet.store, R"({"restore":true})");
        EXPECT_TRUE(eventually(
            [&, m = 1 - n]
            {
                return is_complete_stream(
                    fleet.stream(m, "after", n == 0 ? "m4" : "m1"));
            }));
        fleet.daemons[n].program->resume();
        EXPECT_TRUE(eventually(
            [&]
            { return is_complete_stream(fleet.stream(n, "woken", "m2")); }));
    }
    EXPECT_EQ(fleet.engine_total("old_fences"), 0);
    EXPECT_TRUE(fleet.is_memory_respected());
}

TEST(platform_path, a_stopping_daemon_completes_its_streams)
{
    platform_fleet fleet(2);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "warm", "m1")));
    auto running = std::async(std::launch::async,
                              [&] { return fleet.stream(0, "r", "m1"); });
    std::this_thread::sleep_for(milliseconds(60));
    fleet.daemons[0].program->signal(SIGTERM);
    EXPECT_TRUE(is_complete_stream(running.get()));
    EXPECT_TRUE(eventually([&] { return !fleet.is_ready(0); }));
    EXPECT_EQ(fleet.daemons[0].program->wait(), 0);
}

/// Runs `cicadactl explain` on the logs of all daemons; returns its output, or
/// an empty text if it fails. It fails until a daemon's log thread has written
/// a line of the request.
std::string explain_output(const platform_fleet& fleet,
                           const std::string& request)
{
    const std::string file = make_folder() + "/logs";
    std::ofstream logs(file);
    for (const auto& it : fleet.daemons)
    {
        logs << it.program->output();
    }
    logs.close();
    process it("utilities/cicadactl", {"explain", request, file});
    return it.wait() == 0 ? it.output() : std::string();
}

// These tests cover the three ways that docs/OPERATIONS.md describes to find
// the cause of a request's outcome from its id.
TEST(explain, a_refused_request)
{
    platform_fleet fleet(1);
    EXPECT_EQ(
        fleet.plain(0, "doubted", http::verb::get, "/read/1", "wrong").status,
        401U);
    EXPECT_TRUE(eventually(
        [&]
        {
            const std::string text = explain_output(fleet, "doubted");
            return text.find("request_refused") != std::string::npos &&
                   text.find("reason=unauthenticated") != std::string::npos &&
                   text.find("configuration=1") != std::string::npos;
        }));
}

TEST(explain, an_interrupted_response)
{
    platform_fleet fleet(1);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "warm", "m1")));
    fleet.set_fault(fleet.engines[0].address,
                    R"({"break_streams":1,"unframed":true})");
    fleet.stream(0, "broke", "m1");
    EXPECT_TRUE(eventually(
        [&]
        {
            const std::string text = explain_output(fleet, "broke");
            return text.find("request_attempted server=e1 end=failed") !=
                       std::string::npos &&
                   text.find("framing=until-close") != std::string::npos &&
                   text.find("reason=partial message") != std::string::npos &&
                   text.find("request_answered") != std::string::npos;
        }));
    // The server still accepts connections, so that it has not crashed.
    EXPECT_EQ(explain_output(fleet, "broke").find("request_suspected"),
              std::string::npos);
}

TEST(explain, a_crashed_server)
{
    platform_fleet fleet(1);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "warm", "m1")));
    fleet.set_fault(fleet.engines[0].address, R"({"crash_after_run":true})");
    fleet.stream(0, "crashed", "m1");
    EXPECT_TRUE(eventually(
        [&]
        {
            const std::string text = explain_output(fleet, "crashed");
            return text.find("request_attempted server=e1 end=failed") !=
                       std::string::npos &&
                   text.find("request_suspected") != std::string::npos;
        }));
}

TEST(explain, a_slow_cold_start)
{
    platform_fleet fleet(2);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "late", "m3")));
    EXPECT_TRUE(eventually(
        [&]
        {
            const std::string text = explain_output(fleet, "late");
            return text.find("request_waits") != std::string::npos &&
                   text.find("order_sent") != std::string::npos &&
                   text.find("from_store=true") != std::string::npos;
        }));
}

TEST(metrics, agree_with_their_page)
{
    platform_fleet fleet(1);
    EXPECT_TRUE(is_complete_stream(fleet.stream(0, "late", "m3")));
    EXPECT_EQ(fleet.plain(0, "r", http::verb::get, "/read/1", "wrong").status,
              401U);
    const std::string text =
        call(fleet.daemons[0].readiness, http::verb::get, "/metrics").body;
    std::ifstream in(std::string(CICADAHUB_SOURCE_DIR) + "/docs/METRICS.md");
    std::size_t rows = 0;
    const std::string start = "| `cicadahub_entry_";
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with(start))
        {
            ++rows;
            const std::string name = line.substr(3, line.find('`', 3) - 3);
            EXPECT_NE(text.find("# TYPE " + name + " "), std::string::npos)
                << name;
        }
    }
    EXPECT_EQ(count_occurrences(text, "# TYPE cicadahub_entry_"), rows);
}

TEST(platform_path, an_invalid_settings_file_is_reported_by_field)
{
    const std::string file = make_folder() + "/bad.toml";
    std::ofstream(file) << "node = 7\n[listen]\nfront = \"nowhere\"\n";
    process it("services/cicada-entry", {"--check-settings", file});
    EXPECT_EQ(it.wait(), 2);
    const std::string output = it.output();
    EXPECT_NE(output.find("node"), std::string::npos) << output;
    EXPECT_NE(output.find("listen.front"), std::string::npos) << output;
    EXPECT_NE(output.find("platform.address"), std::string::npos) << output;
}

} // namespace
} // namespace cicadahub::system_tests
