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

// Guards against bytes of a waiting response that fill the memory of the host.
TEST(client, a_response_that_is_not_read_stays_with_its_server)
{
    constexpr std::size_t most_bytes = 8 * 1024 * 1024;
    fakes::relay_run run("HTTP/1.1 200 OK\r\n\r\n",
                         fakes::connection_end::stays_open,
                         fakes::repeated("a"));
    run.run(
        [&](endpoint server, reply_writer&) -> net::awaitable<int>
        {
            const auto connection = co_await run.pool().acquire(server);
            connection->set_timeout(seconds(5));
            co_await net::async_write(connection->stream,
                                      net::buffer("GET / HTTP/1.1\r\n\r\n"),
                                      net::use_awaitable);
            // Reads fast and then not at all, as for a caller that stops.
            std::vector<char> buf(most_bytes);
            for (int n = 0; n < 400; ++n)
            {
                co_await connection->stream.async_read_some(net::buffer(buf),
                                                            net::use_awaitable);
            }
            net::steady_timer timer(co_await net::this_coro::executor,
                                    milliseconds(300));
            co_await timer.async_wait(net::use_awaitable);
            EXPECT_LE(connection->stream.socket().available(),
                      std::size_t(256 * 1024));
            co_return 0;
        });
}

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
