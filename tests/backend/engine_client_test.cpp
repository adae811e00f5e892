#include "backend/engine_client.hpp"

#include "relay_run.hpp"
#include "response_endings.hpp"

#include <gtest/gtest.h>

namespace cicadahub::backend
{
namespace
{

class order_answers : public testing::TestWithParam<fakes::response_ending>
{
};

// An order whose answer broke off may have been carried out or not.
TEST_P(order_answers, a_broken_answer_leaves_the_outcome_unknown)
{
    fakes::relay_run run(
        fakes::bytes_of(GetParam(), "Content-Type: application/json\r\n"),
        GetParam().end);
    const placement::order_result seen = run.run(
        [&](http::endpoint server,
            http::reply_writer&) -> net::awaitable<placement::order_result>
        {
            engine_client subject(run.pool(), milliseconds(1'000),
                                  milliseconds(1'000));
            placement::order_action order;
            co_return co_await subject.send(server, order);
        });
    EXPECT_EQ(seen, GetParam().is_complete ? placement::order_result::done
                                           : placement::order_result::unknown);
}

INSTANTIATE_TEST_SUITE_P(engine_client, order_answers,
                         testing::ValuesIn(fakes::json_endings()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::backend
