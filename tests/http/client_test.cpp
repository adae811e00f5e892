#include "http/client.hpp"

#include "endless_responses.hpp"
#include "relay_run.hpp"
#include "response_endings.hpp"

#include <gtest/gtest.h>

namespace cicadahub::http
{
namespace
{

class fetched_documents : public testing::TestWithParam<fakes::response_ending>
{
};

// Lists, reports and relayed objects are fetched as JSON documents: one that
// broke off must be an error, not a shorter list.
TEST_P(fetched_documents, a_broken_document_is_an_error)
{
    fakes::relay_run run(
        fakes::bytes_of(GetParam(), "Content-Type: application/json\r\n"),
        GetParam().end);
    const auto fetch_document = [&]
    {
        return run.run(
            [&](endpoint server, reply_writer&) -> net::awaitable<response>
            {
                request message = make_request(verb::get, "/");
                co_return co_await fetch(run.pool(), server, std::move(message),
                                         milliseconds(1'000));
            });
    };
    if (GetParam().is_complete)
    {
        EXPECT_TRUE(fetch_document().body().starts_with(
            R"({"usage":{"total_tokens":)"));
    }
    else
    {
        EXPECT_THROW(fetch_document(), boost::system::system_error);
    }
}

INSTANTIATE_TEST_SUITE_P(client, fetched_documents,
                         testing::ValuesIn(fakes::json_endings()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

class endless_documents : public testing::TestWithParam<fakes::endless_response>
{
};

// Guards against memory, processor time and bandwidth spent until the deadline
// on bytes that are no answer.
TEST_P(endless_documents, are_closed_long_before_the_deadline)
{
    constexpr milliseconds timeout{3'000};
    fakes::relay_run run(GetParam().start, fakes::connection_end::stays_open,
                         fakes::repeated(GetParam().block));
    const time_point began = monotonic_clock::now();
    const auto fetch_document = [&]
    {
        return run.run(
            [&](endpoint server, reply_writer&) -> net::awaitable<response>
            {
                request message = make_request(verb::get, "/");
                co_return co_await fetch(run.pool(), server, std::move(message),
                                         timeout);
            });
    };
    EXPECT_THROW(fetch_document(), boost::system::system_error);
    EXPECT_LT(monotonic_clock::now() - began, timeout);
    EXPECT_LE(run.server().sent_bytes(), fakes::most_sent_bytes);
}

INSTANTIATE_TEST_SUITE_P(client, endless_documents,
                         testing::ValuesIn(fakes::endless_responses()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::http
