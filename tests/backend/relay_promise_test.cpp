#include "backend/answer_relay.hpp"

#include "relay_run.hpp"

#include <gtest/gtest.h>

namespace cicadahub::backend
{
namespace
{

using fakes::connection_end;

constexpr std::string_view request_name = "this-request";
const std::string names_request = "X-Request-Id: this-request\r\n";
const std::string names_other = "X-Request-Id: another\r\n";
const std::string names_none;
const std::string json = "Content-Type: application/json\r\n";
const std::string stream = "Content-Type: text/event-stream\r\n";

std::string response(unsigned status, const std::string& fields)
{
    const std::string body = fields.find(stream) != std::string::npos
                                 ? "data: {}\n\ndata: [DONE]\n\n"
                                 : "{}";
    return "HTTP/1.1 " + std::to_string(status) + " Reason\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct promise_case
{
    const char* name;
    backend_kind kind;
    std::string response;
    /// The connection has carried another request.
    bool is_used;
    relay_end expected;
    /// Another request may have had the same id.
    bool is_id_chosen = false;
};

void PrintTo(const promise_case& it, std::ostream* out)
{
    *out << it.name;
}

struct relayed
{
    relay_result result;
    bool has_started = false;
};

relayed run_relay(const promise_case& it, bool is_buffering)
{
    std::vector<std::string> responses;
    if (it.is_used)
    {
        responses.push_back(response(200, json));
    }
    responses.push_back(it.response);
    fakes::relay_run run(responses, connection_end::stays_open);
    answer_relay subject(run.pool(), relay_limits{}, it.kind);
    if (is_buffering)
    {
        subject.buffer_answer();
    }
    http::request message{http::verb::post, "/", 11};
    message.set("X-Request-Id", request_name);
    return run.run(
        [&](http::endpoint server,
            http::reply_writer& reply) -> net::awaitable<relayed>
        {
            if (it.is_used)
            {
                co_await http::fetch(run.pool(), server,
                                     http::make_request(http::verb::get, "/"),
                                     milliseconds(1'000));
            }
            relayed seen;
            seen.result = co_await subject.run(server, message, reply,
                                               {false, !it.is_id_chosen});
            seen.has_started = reply.has_started();
            co_return seen;
        });
}

class relayed_promises : public testing::TestWithParam<promise_case>
{
};

// Guards against a response that is taken for that to the request, or believed
// when it says that the request was not executed, without proof.
TEST_P(relayed_promises, rest_on_what_is_proven)
{
    const relayed seen = run_relay(GetParam(), false);
    EXPECT_EQ(seen.result.end, GetParam().expected);
    EXPECT_EQ(seen.has_started, GetParam().expected == relay_end::complete);
}

constexpr auto engine = backend_kind::engine;
constexpr auto service = backend_kind::plain_service;
constexpr bool used = true;
constexpr bool chosen = true;
using enum relay_end;

INSTANTIATE_TEST_SUITE_P(
    answer_relay, relayed_promises,
    testing::Values(
        promise_case{"new_engine_503", engine, response(503, json), !used,
                     server_busy},
        promise_case{"new_engine_404", engine, response(404, json), !used,
                     model_not_loaded},
        promise_case{"named_engine_503", engine,
                     response(503, json + names_request), used, server_busy},
        promise_case{"named_engine_429", engine,
                     response(429, json + names_request), used, server_busy},
        promise_case{"named_engine_404", engine,
                     response(404, json + names_request), used,
                     model_not_loaded},
        promise_case{"named_engine_503_as_stream", engine,
                     response(503, stream + names_request), used, server_busy},
        promise_case{"unnamed_engine_503", engine, response(503, json), used,
                     failed_before_answer},
        promise_case{"unnamed_engine_429", engine, response(429, json), used,
                     failed_before_answer},
        promise_case{"unnamed_engine_404", engine, response(404, json), used,
                     failed_before_answer},
        promise_case{"unnamed_engine_503_as_stream", engine,
                     response(503, stream), used, failed_before_answer},
        promise_case{"other_engine_503", engine,
                     response(503, json + names_other), !used,
                     failed_before_answer},
        promise_case{"chosen_id_engine_503", engine,
                     response(503, json + names_request), used,
                     failed_before_answer, chosen},
        promise_case{"chosen_id_new_engine_503", engine,
                     response(503, json + names_request), !used, server_busy,
                     chosen},
        promise_case{"engine_408", engine, response(408, json + names_request),
                     !used, failed_before_answer},
        promise_case{"engine_421", engine, response(421, json + names_request),
                     !used, failed_before_answer},
        promise_case{"engine_408_as_stream", engine,
                     response(408, stream + names_request), !used,
                     failed_before_answer},
        promise_case{"service_408", service,
                     response(408, json + names_request), !used,
                     failed_before_answer},
        promise_case{"service_421", service,
                     response(421, json + names_request), !used,
                     failed_before_answer},
        promise_case{"service_429", service,
                     response(429, json + names_request), !used,
                     failed_before_answer},
        promise_case{"service_503", service,
                     response(503, json + names_request), !used,
                     failed_before_answer},
        promise_case{"service_503_as_stream", service,
                     response(503, stream + names_request), !used,
                     failed_before_answer},
        promise_case{"service_404", service, response(404, json), used,
                     complete},
        promise_case{"service_500", service, response(500, json), used,
                     complete},
        promise_case{"unnamed_200", service, response(200, json), used,
                     complete},
        promise_case{"other_200", service, response(200, json + names_other),
                     !used, failed_before_answer},
        promise_case{"other_200_as_stream", engine,
                     response(200, stream + names_other), !used,
                     failed_before_answer},
        promise_case{"unnamed_200_in_front", service,
                     response(200, json) + response(200, json + names_request),
                     used, failed_before_answer},
        promise_case{"unnamed_503_in_front", engine,
                     response(503, json) + response(200, json + names_request),
                     !used, failed_before_answer},
        promise_case{"named_200_in_front", service,
                     response(200, json + names_request) + response(200, json),
                     used, complete}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a status that is saved for repeats although it promises that
// the call was not executed.
TEST(answer_relay, buffers_no_promise)
{
    const relayed seen =
        run_relay({"service_503", service, response(503, json + names_request),
                   !used, failed_before_answer},
                  true);
    EXPECT_EQ(seen.result.end, failed_before_answer);
    EXPECT_FALSE(seen.result.buffered_answer.has_value());
}

} // namespace
} // namespace cicadahub::backend
