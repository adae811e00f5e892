#include "entry/requests/exchange.hpp"

#include "early_answers.hpp"
#include "endless_responses.hpp"
#include "relay_run.hpp"
#include "response_endings.hpp"
#include "servers.hpp"

#include <gtest/gtest.h>

namespace cicadahub::entry
{
namespace
{

using fakes::connection_end;

std::string forward_head(const http::request& message, const forwarding&)
{
    return "POST " + std::string(message.target()) + " HTTP/1.1\r\n\r\n";
}

answer_head read_answer(const http::beast_http::response_header<>&,
                        const request_id&, const server_id&)
{
    answer_head it;
    it.facts.status = 200;
    it.facts.request = outcome::named_party::expected;
    it.facts.has_proof_of_origin = true;
    return it;
}

server_notice read_notice(const http::beast_http::response_header<>& head,
                          const server_id&)
{
    server_notice it;
    it.is_leaving = head.count("Leaving") > 0;
    return it;
}

const server_dialect dialect{forward_head, read_answer, read_notice, nullptr,
                             nullptr,      nullptr,     nullptr};

struct outcome
{
    exchange_result result;
    bool is_leaving = false;
    stream_progress progress;
    fakes::received_response received;
    std::size_t sent_bytes = 0;
};

outcome run_exchange(fakes::relay_run& run, bool may_send, milliseconds timeout,
                     http::verb method = http::verb::post,
                     std::size_t upload_bytes = 0)
{
    outcome seen;
    exchange subject(run.pool(), dialect,
                     {[may_send] { return may_send; },
                      [&seen](const server_notice& notice)
                      { seen.is_leaving = notice.is_leaving; },
                      [] {},
                      [] {
                      }});
    http::request message{method, "/", 11};
    message.body().assign(upload_bytes, 'x');
    const forwarding added;
    const request_id id("r");
    seen.result = run.run(
        [&](http::endpoint server,
            http::reply_writer& reply) -> net::awaitable<exchange_result>
        {
            exchange_path path{server, false, std::nullopt};
            const time_point deadline = monotonic_clock::now() + timeout;
            reply.set_deadline(deadline);
            exchange_result result =
                co_await subject.run(std::move(path), message, added, id, reply,
                                     seen.progress, deadline);
            if (result.end == exchange_end::failed)
            {
                reply.abort_stream();
            }
            co_return result;
        });
    seen.received = run.receive();
    seen.sent_bytes = run.server().sent_bytes();
    return seen;
}

outcome run_exchange(const fakes::response_ending& it,
                     const std::string& content_type, bool may_send = true,
                     milliseconds timeout = seconds(5))
{
    fakes::relay_run run(
        fakes::bytes_of(it, "Content-Type: " + content_type + "\r\n"), it.end);
    return run_exchange(run, may_send, timeout);
}

class stream_endings : public testing::TestWithParam<fakes::response_ending>
{
};

// Guards against a stream that is broken off and reaches its caller as if it
// were complete.
TEST_P(stream_endings, a_broken_stream_never_looks_complete)
{
    const outcome seen = run_exchange(GetParam(), "text/event-stream");
    const bool is_complete = GetParam().is_complete;
    EXPECT_EQ(seen.result.end,
              is_complete ? exchange_end::streamed : exchange_end::failed);
    EXPECT_EQ(seen.received.is_complete, is_complete);
}

// Another server resumes after the last event that the caller received, so that
// the caller must not have a part of the next one.
TEST_P(stream_endings, a_broken_stream_leaves_no_partial_event)
{
    const outcome seen = run_exchange(GetParam(), "text/event-stream");
    const std::string& body = seen.received.body;
    EXPECT_TRUE(body.empty() || body.ends_with("\n\n") ||
                body.ends_with("\r\n\r\n"))
        << body;
    const bool has_second = body.find("data: b") != std::string::npos;
    if (!body.empty())
    {
        EXPECT_EQ(seen.progress.last_event, has_second ? "2" : "1");
    }
}

INSTANTIATE_TEST_SUITE_P(exchange, stream_endings,
                         testing::ValuesIn(fakes::stream_endings()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

class json_endings : public testing::TestWithParam<fakes::response_ending>
{
};

TEST_P(json_endings, a_broken_answer_never_looks_complete)
{
    const outcome seen = run_exchange(GetParam(), "application/json");
    EXPECT_EQ(seen.result.end, GetParam().is_complete ? exchange_end::answered
                                                      : exchange_end::failed);
    EXPECT_EQ(seen.result.is_connection_lost, !GetParam().is_complete);
}

INSTANTIATE_TEST_SUITE_P(exchange, json_endings,
                         testing::ValuesIn(fakes::json_endings()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

struct head_case
{
    const char* name;
    std::string head;
    connection_end end;
};

void PrintTo(const head_case& it, std::ostream* out)
{
    *out << it.name;
}

class broken_heads : public testing::TestWithParam<head_case>
{
};

// Guards against a 200 with an empty or short body, framed as whole, when a
// server stops within the head of its answer.
TEST_P(broken_heads, are_no_answer)
{
    const std::string& head = GetParam().head;
    for (std::size_t n = 0; n < head.size(); ++n)
    {
        fakes::relay_run run(head.substr(0, n), GetParam().end);
        const outcome seen = run_exchange(run, true, seconds(5));
        EXPECT_EQ(seen.result.end, exchange_end::failed) << n;
        EXPECT_TRUE(seen.result.is_connection_lost) << n;
        EXPECT_FALSE(seen.result.answer) << n;
        EXPECT_FALSE(seen.progress.has_head) << n;
        EXPECT_FALSE(seen.received.is_complete) << n;
    }
}

const std::string json_head = "HTTP/1.1 200 OK\r\nContent-Type: "
                              "application/json\r\nContent-Length: 2\r\n\r\n";
const std::string unframed_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
const std::string stream_head = "HTTP/1.1 200 OK\r\nContent-Type: "
                                "text/event-stream\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    exchange, broken_heads,
    testing::Values(
        head_case{"json_closed", json_head, connection_end::closed},
        head_case{"json_reset", json_head, connection_end::reset},
        head_case{"unframed_closed", unframed_head, connection_end::closed},
        head_case{"unframed_reset", unframed_head, connection_end::reset},
        head_case{"stream_closed", stream_head, connection_end::closed},
        head_case{"stream_reset", stream_head, connection_end::reset}),
    [](const auto& it) { return std::string(it.param.name); });

class endless_exchanges : public testing::TestWithParam<fakes::endless_response>
{
};

// Guards against memory, processor time and bandwidth spent until the deadline
// on bytes that are no answer.
TEST_P(endless_exchanges, are_closed_long_before_the_deadline)
{
    fakes::relay_run run(GetParam().start, connection_end::stays_open,
                         fakes::repeated(GetParam().block));
    const outcome seen = run_exchange(run, true, seconds(3));
    EXPECT_EQ(seen.result.end, exchange_end::failed) << seen.result.reason;
    EXPECT_FALSE(seen.received.is_complete);
    EXPECT_LE(seen.sent_bytes, fakes::most_sent_bytes);
    EXPECT_FALSE(seen.result.is_connection_lost) << seen.result.reason;
    EXPECT_FALSE(seen.result.reason.empty());
}

INSTANTIATE_TEST_SUITE_P(exchange, endless_exchanges,
                         testing::ValuesIn(fakes::endless_responses()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

/// One event, which is sent again without a pause.
const std::string event = "data: a\n\n";
constexpr milliseconds stream_timeout{500};
constexpr milliseconds end_slack{300};

struct pauseless_case
{
    const char* name;
    std::string framing;
    std::string block;
};

void PrintTo(const pauseless_case& it, std::ostream* out)
{
    *out << it.name;
}

class pauseless_streams : public testing::TestWithParam<pauseless_case>
{
};

// Guards against a stream that outlives its deadline because its events never
// pause, so that each read completes at once.
TEST_P(pauseless_streams, end_at_their_deadline)
{
    fakes::relay_run run("HTTP/1.1 200 OK\r\nContent-Type: "
                         "text/event-stream\r\n" +
                             GetParam().framing + "\r\n",
                         connection_end::stays_open, GetParam().block);
    run.drain_caller();
    const time_point began = monotonic_clock::now();
    const outcome seen = run_exchange(run, true, stream_timeout);
    EXPECT_LT(monotonic_clock::now() - began, stream_timeout + end_slack);
    EXPECT_EQ(seen.result.end, exchange_end::out_of_time) << seen.result.reason;
    EXPECT_TRUE(seen.progress.first_event_at);
}

// Guards against a stream that outlives its deadline because its caller reads
// slowly, so that each write has the time of a whole request.
TEST_P(pauseless_streams, end_at_their_deadline_while_the_caller_reads_slowly)
{
    fakes::relay_run run("HTTP/1.1 200 OK\r\nContent-Type: "
                         "text/event-stream\r\n" +
                             GetParam().framing + "\r\n",
                         connection_end::stays_open,
                         fakes::repeated(GetParam().block));
    const time_point began = monotonic_clock::now();
    const outcome seen = run_exchange(run, true, stream_timeout);
    EXPECT_LT(monotonic_clock::now() - began, stream_timeout + end_slack);
    EXPECT_TRUE(seen.result.end == exchange_end::caller_gone ||
                seen.result.end == exchange_end::out_of_time);
}

INSTANTIATE_TEST_SUITE_P(
    exchange, pauseless_streams,
    testing::Values(pauseless_case{"until_close", "", event},
                    pauseless_case{"in_chunks",
                                   "Transfer-Encoding: chunked\r\n",
                                   "9\r\n" + event + "\r\n"}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against an interim response that is taken for the response, which
// leaves the real one to the next request on the connection.
TEST(exchange, an_interim_response_is_not_the_response)
{
    fakes::relay_run run("HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                         "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\n"
                         "abc",
                         connection_end::stays_open);
    const outcome seen = run_exchange(run, true, seconds(3));
    ASSERT_TRUE(seen.result.answer);
    EXPECT_EQ(seen.result.answer->result_int(), 404U);
    EXPECT_EQ(seen.result.answer->body(), "abc");
}

class early_answers : public testing::TestWithParam<fakes::early_answer>
{
};

// Guards against an answer that a server breaks off before it has received the
// request, and that reaches its caller as if it were complete.
TEST_P(early_answers, look_complete_only_if_they_are)
{
    const fakes::early_answer& it = GetParam();
    fakes::relay_run run(
        fakes::bytes_of(it.ending, "Content-Type: " + it.content_type + "\r\n"),
        it.ending.end);
    const outcome seen =
        run_exchange(run, true, seconds(3), http::verb::post, it.upload_bytes);
    const bool is_answered = seen.result.end == exchange_end::answered ||
                             seen.result.end == exchange_end::streamed;
    EXPECT_EQ(is_answered, it.ending.is_complete);
    EXPECT_EQ(seen.result.end == exchange_end::failed, !it.ending.is_complete);
}

INSTANTIATE_TEST_SUITE_P(exchange, early_answers,
                         testing::ValuesIn(fakes::early_answers()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

class invalid_statuses : public testing::TestWithParam<std::string>
{
};

// Guards against a response without a valid status that keeps its caller
// waiting for another one, or reaches it as an answer.
TEST_P(invalid_statuses, end_the_attempt_at_once)
{
    fakes::relay_run run(fakes::response_of_status(GetParam(), {}),
                         connection_end::stays_open);
    const outcome seen = run_exchange(run, true, seconds(3));
    EXPECT_EQ(seen.result.end, exchange_end::failed);
    EXPECT_FALSE(seen.result.answer);
    EXPECT_FALSE(seen.result.is_connection_lost);
}

INSTANTIATE_TEST_SUITE_P(exchange, invalid_statuses,
                         testing::ValuesIn(fakes::invalid_statuses()),
                         [](const auto& it) { return it.param; });

class answers_to_head : public testing::TestWithParam<const char*>
{
};

// Guards against a wait for the body that the response to HEAD does not have.
TEST_P(answers_to_head, end_with_their_head)
{
    fakes::relay_run run("HTTP/1.1 200 OK\r\n" + std::string(GetParam()) +
                             "\r\n",
                         connection_end::stays_open);
    const outcome seen = run_exchange(run, true, seconds(3), http::verb::head);
    ASSERT_TRUE(seen.result.answer) << seen.result.reason;
    EXPECT_EQ(seen.result.answer->body(), "");
    const auto length = (*seen.result.answer)[http::field::content_length];
    EXPECT_TRUE(length.empty() || length == "10") << length;
}

INSTANTIATE_TEST_SUITE_P(exchange, answers_to_head,
                         testing::Values("", "Content-Length: 10\r\n",
                                         "Transfer-Encoding: chunked\r\n",
                                         "Content-Type: text/event-stream\r\n",
                                         "Content-Type: application/json\r\n"));

// A body without a content type that shows its end is whole when the connection
// is closed, but not when it is reset.
TEST(exchange, an_opaque_answer_without_length_ends_with_its_connection)
{
    using fakes::connection_end;
    const std::string type = "application/octet-stream";
    EXPECT_EQ(
        run_exchange({"closed", "abc", "", connection_end::closed, true}, type)
            .result.end,
        exchange_end::answered);
    EXPECT_EQ(
        run_exchange({"reset", "abc", "", connection_end::reset, false}, type)
            .result.end,
        exchange_end::failed);
}

// A stream may last for long after its head said that its server leaves.
TEST(exchange, a_notice_is_known_before_the_end_of_the_stream)
{
    constexpr milliseconds timeout{1'000};
    const fakes::response_ending endless{
        "endless", fakes::chunk("id: 1\ndata: a\n\n"),
        "Transfer-Encoding: chunked\r\nLeaving: 1\r\n",
        fakes::connection_end::stays_open, false};
    const outcome seen =
        run_exchange(endless, "text/event-stream", true, timeout);
    EXPECT_EQ(seen.result.end, exchange_end::out_of_time);
    EXPECT_TRUE(seen.is_leaving);
}

// A server may ask for a pause while a connection to it is being opened.
TEST(exchange, nothing_is_sent_to_a_server_that_wants_nothing_any_more)
{
    const fakes::response_ending whole{"whole", "abc", fakes::length_of(3),
                                       fakes::connection_end::stays_open, true};
    const outcome seen = run_exchange(whole, "application/octet-stream", false);
    EXPECT_EQ(seen.result.end, exchange_end::withheld);
    EXPECT_EQ(seen.result.framing, std::nullopt);
}

/// Exchanges with a server that answers by scripts, each a new attempt at one
/// request.
class scripted_exchange
{
public:
    explicit scripted_exchange(fakes::connection_scripts scripts)
        : m_run(std::move(scripts), fakes::connection_end::stays_open),
          m_exchange(m_run.pool(), adapter::servers,
                     {[] { return true; },
                      [this](const server_notice& it)
                      { m_is_leaving = m_is_leaving || it.is_leaving; },
                      [] {},
                      [] {
                      }})
    {
    }

    exchange_result attempt(bool use_new_connection = false,
                            milliseconds timeout = seconds(5),
                            const request_id& id = request_id("r"))
    {
        return m_run.run(
            [&](http::endpoint server,
                http::reply_writer& reply) -> net::awaitable<exchange_result>
            {
                exchange_path path{server, use_new_connection, std::nullopt};
                co_return co_await m_exchange.run(
                    std::move(path), m_message, m_added, id, reply, m_progress,
                    monotonic_clock::now() + timeout);
            });
    }

    bool is_leaving() const { return m_is_leaving; }

private:
    fakes::relay_run m_run;
    exchange m_exchange;
    http::request m_message{http::verb::post, "/", 11};
    forwarding m_added;
    stream_progress m_progress;
    bool m_is_leaving = false;
};

const std::string identity = "Request-Id: r\r\nResponse-Seal: s\r\n";
const std::string success =
    "HTTP/1.1 200 OK\r\n" + identity + fakes::length_of(0) + "\r\n";

// A server may send a second copy of a response where the next one is
// expected. A copy of the refusal of a request's earlier attempt names the same
// request, so that only the connection tells it from the response to the
// repeat.
TEST(exchange, a_repeat_does_not_read_the_copy_of_an_earlier_refusal)
{
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + identity +
        fakes::length_of(0) + "\r\n";
    scripted_exchange subject({{refusal, refusal + success}, {success}});
    EXPECT_EQ(subject.attempt().end, exchange_end::turned_away);
    EXPECT_EQ(subject.attempt(true).end, exchange_end::answered);
}

struct copy_case
{
    const char* name;
    /// Bytes of the copy that come with the refusal itself; the rest comes in
    /// front of the next response.
    std::size_t early;
};

void PrintTo(const copy_case& it, std::ostream* out)
{
    *out << it.name;
}

class refusal_copies : public testing::TestWithParam<copy_case>
{
};

// Guards against a request that ran and is taken for refused, since its server
// wrote the refusal of an earlier request once more.
TEST_P(refusal_copies, are_not_taken_for_the_response_to_the_next_request)
{
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + identity +
        fakes::length_of(0) + "\r\n";
    const std::string next = "HTTP/1.1 200 OK\r\nRequest-Id: next\r\n"
                             "Response-Seal: s\r\n" +
                             fakes::length_of(0) + "\r\n";
    const std::size_t early = std::min(GetParam().early, refusal.size());
    scripted_exchange subject(
        {{refusal + refusal.substr(0, early), refusal.substr(early) + next},
         {next}});
    EXPECT_EQ(subject.attempt().end, exchange_end::turned_away);
    const exchange_end end =
        subject.attempt(false, seconds(5), request_id("next")).end;
    EXPECT_TRUE(end == exchange_end::answered || end == exchange_end::failed)
        << name_of(end);
}

INSTANTIATE_TEST_SUITE_P(exchange, refusal_copies,
                         testing::Values(copy_case{"late", 0},
                                         copy_case{"in_parts", 20},
                                         copy_case{"at_once", 1'000}),
                         [](const auto& it)
                         { return std::string(it.param.name); });

// A late response of an earlier incarnation may say that its server leaves.
TEST(exchange, a_notice_in_a_response_to_another_request_is_ignored)
{
    scripted_exchange subject(
        {{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Leaving: 1\r\n" +
          fakes::length_of(0) + "\r\n"}});
    EXPECT_EQ(subject.attempt(false, seconds(1)).end, exchange_end::failed);
    EXPECT_FALSE(subject.is_leaving());
}

TEST(exchange, a_status_without_a_name_is_forwarded_unchanged)
{
    scripted_exchange subject({{"HTTP/1.1 520 Unknown\r\n" + identity +
                                fakes::length_of(0) + "\r\n"}});
    const exchange_result seen = subject.attempt();
    ASSERT_TRUE(seen.answer);
    EXPECT_EQ(seen.answer->result_int(), 520U);
}

// The fields that identify a response are checked in its head; those behind the
// body must not change them.
TEST(exchange, fields_behind_the_body_are_not_forwarded_in_the_head)
{
    scripted_exchange subject(
        {{"HTTP/1.1 200 OK\r\n" + identity +
          "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
          "Request-Id: other\r\nContent-Encoding: gzip\r\n\r\n"}});
    const exchange_result seen = subject.attempt();
    ASSERT_TRUE(seen.answer);
    EXPECT_EQ(seen.answer->count("Request-Id"), 1U);
    EXPECT_EQ(seen.answer->count(http::field::content_encoding), 0U);
}

// The deadline may pass while a connection is opened or the host is suspended.
TEST(exchange, nothing_is_sent_after_the_deadline)
{
    scripted_exchange subject({{success}});
    EXPECT_EQ(subject.attempt(false, milliseconds(-1)).end,
              exchange_end::withheld);
}

} // namespace
} // namespace cicadahub::entry
