#include "object_store_dialect.hpp"

#include "platform/object_client.hpp"
#include "relay_run.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

class endless_lists : public testing::TestWithParam<std::size_t>
{
};

// Guards against a store whose pages never end.
TEST_P(endless_lists, are_an_error)
{
    const std::string page =
        R"({"items":[{"metadata":{"name":"a","revision":1},"spec":{"text":")" +
        std::string(GetParam(), 'a') + R"("}}],"hasMore":true,"currentRev":5})";
    fakes::relay_run run("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(page.size()) + "\r\n\r\n" + page,
                         fakes::connection_end::stays_open);
    const auto list = [&]
    {
        return run.run(
            [&](http::endpoint store,
                http::reply_writer&) -> http::net::awaitable<platform::listing>
            {
                platform::object_client client(run.pool(), store,
                                               {seconds(1), seconds(1)},
                                               object_store_dialect);
                co_return co_await client.list(platform::collection::servers);
            });
    };
    EXPECT_THROW(list(), platform::platform_error);
}

INSTANTIATE_TEST_SUITE_P(object_client, endless_lists,
                         testing::Values(1, 1'000'000));

} // namespace
} // namespace cicadahub::adapter
