#include "backend/answer_relay.hpp"

#include "early_answers.hpp"
#include "endless_responses.hpp"
#include "relay_run.hpp"
#include "response_endings.hpp"

#include <gtest/gtest.h>

namespace cicadahub::backend
{
namespace
{

using fakes::connection_end;

struct outcome
{
    relay_result result;
    fakes::received_response received;
};

outcome run_relay(fakes::relay_run& run, backend_kind kind,
                  relay_limits limits = {}, std::size_t upload_bytes = 0)
{
    answer_relay subject(run.pool(), limits, kind);
    http::request message{http::verb::post, "/", 11};
    message.body().assign(upload_bytes, 'x');
    message.prepare_payload();
    outcome seen;
    seen.result = run.run(
        [&](http::endpoint server,
            http::reply_writer& reply) -> net::awaitable<relay_result>
        {
            relay_result result =
                co_await subject.run(server, message, reply, {true});
            if (result.end != relay_end::complete)
            {
                reply.abort_stream();
            }
            co_return result;
        });
    seen.received = run.receive();
    return seen;
}

outcome run_relay(const fakes::response_ending& it,
                  const std::string& content_type, backend_kind kind)
{
    fakes::relay_run run(
        fakes::bytes_of(it, "Content-Type: " + content_type + "\r\n"), it.end);
    return run_relay(run, kind);
}

class relayed_streams : public testing::TestWithParam<fakes::response_ending>
{
};

// Guards against a stream that is broken off and reaches its caller as if it
// were complete.
TEST_P(relayed_streams, a_broken_stream_never_looks_complete)
{
    const outcome seen =
        run_relay(GetParam(), "text/event-stream", backend_kind::plain_service);
    const bool is_complete = GetParam().is_complete;
    EXPECT_EQ(seen.result.end,
              is_complete ? relay_end::complete : relay_end::interrupted);
    EXPECT_EQ(seen.received.is_complete, is_complete);
}

INSTANTIATE_TEST_SUITE_P(answer_relay, relayed_streams,
                         testing::ValuesIn(fakes::stream_endings()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

class engine_streams : public testing::TestWithParam<fakes::response_ending>
{
};

TEST_P(engine_streams, a_stream_cut_between_events_never_looks_complete)
{
    const outcome seen =
        run_relay(GetParam(), "text/event-stream", backend_kind::engine);
    const bool is_complete = GetParam().is_complete;
    EXPECT_EQ(seen.result.end,
              is_complete ? relay_end::complete : relay_end::interrupted);
    EXPECT_EQ(seen.received.is_complete, is_complete);
}

INSTANTIATE_TEST_SUITE_P(answer_relay, engine_streams,
                         testing::ValuesIn(fakes::engine_stream_endings()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

class relayed_answers : public testing::TestWithParam<fakes::response_ending>
{
};

TEST_P(relayed_answers, a_broken_answer_never_looks_complete)
{
    const outcome seen =
        run_relay(GetParam(), "application/json", backend_kind::plain_service);
    const bool is_complete = GetParam().is_complete;
    EXPECT_EQ(seen.result.end,
              is_complete ? relay_end::complete : relay_end::interrupted);
    EXPECT_EQ(seen.received.is_complete, is_complete);
}

INSTANTIATE_TEST_SUITE_P(answer_relay, relayed_answers,
                         testing::ValuesIn(fakes::json_endings()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

class early_relayed_answers : public testing::TestWithParam<fakes::early_answer>
{
};

// Guards against an answer that a server breaks off before it has received the
// request, and that reaches its caller as if it were complete.
TEST_P(early_relayed_answers, look_complete_only_if_they_are)
{
    const fakes::early_answer& it = GetParam();
    fakes::relay_run run(
        fakes::bytes_of(it.ending, "Content-Type: " + it.content_type + "\r\n"),
        it.ending.end);
    const outcome seen =
        run_relay(run, backend_kind::plain_service, {}, it.upload_bytes);
    EXPECT_EQ(seen.result.end == relay_end::complete, it.ending.is_complete);
    EXPECT_EQ(seen.received.is_complete, it.ending.is_complete);
}

INSTANTIATE_TEST_SUITE_P(answer_relay, early_relayed_answers,
                         testing::ValuesIn(fakes::early_answers()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

class invalid_relayed_statuses : public testing::TestWithParam<std::string>
{
};

// Guards against a response without a valid status that keeps its caller
// waiting for another one, or reaches it as an answer.
TEST_P(invalid_relayed_statuses, end_the_attempt_at_once)
{
    fakes::relay_run run(fakes::response_of_status(GetParam(), {}),
                         connection_end::stays_open);
    relay_limits limits;
    limits.answer = seconds(3);
    const time_point began = monotonic_clock::now();
    const outcome seen = run_relay(run, backend_kind::plain_service, limits);
    EXPECT_EQ(seen.result.end, relay_end::failed_before_answer);
    EXPECT_FALSE(seen.result.is_connection_lost);
    EXPECT_LT(monotonic_clock::now() - began, limits.answer);
}

INSTANTIATE_TEST_SUITE_P(answer_relay, invalid_relayed_statuses,
                         testing::ValuesIn(fakes::invalid_statuses()),
                         [](const auto& it) { return it.param; });

class endless_relayed_answers
    : public testing::TestWithParam<fakes::endless_response>
{
};

// Guards against memory, processor time and bandwidth spent until the deadline
// on bytes that are no answer.
TEST_P(endless_relayed_answers, are_closed_long_before_the_deadline)
{
    fakes::relay_run run(GetParam().start, connection_end::stays_open,
                         fakes::repeated(GetParam().block));
    const outcome seen =
        run_relay(run, backend_kind::engine, {seconds(3), seconds(3)});
    EXPECT_TRUE(seen.result.end == relay_end::interrupted ||
                seen.result.end == relay_end::failed_before_answer);
    EXPECT_FALSE(seen.received.is_complete);
    EXPECT_LE(run.server().sent_bytes(), fakes::most_sent_bytes);
    // The server is alive.
    EXPECT_FALSE(seen.result.is_connection_lost);
}

INSTANTIATE_TEST_SUITE_P(answer_relay, endless_relayed_answers,
                         testing::ValuesIn(fakes::endless_responses()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::backend
