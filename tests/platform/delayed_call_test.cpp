#include "daemon/collection_follower.hpp"
#include "http/server.hpp"
#include "object_store_dialect.hpp"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace cicadahub::platform
{
namespace
{

namespace net = boost::asio;

constexpr client_timing timing{milliseconds(300), milliseconds(1'000)};

/// Lists nothing, never answers the first watch, and has an object for the
/// next one.
class forgetful_store
{
public:
    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply)
    {
        if (message.target().find("watch=") == std::string_view::npos)
        {
            co_await reply.send(http::json_response(
                http::status::ok,
                R"({"items":[],"hasMore":false,"currentRev":5})"));
            co_return;
        }
        if (++m_watches == 1)
        {
            net::steady_timer never(co_await net::this_coro::executor,
                                    seconds(10));
            co_await never.async_wait(net::use_awaitable);
        }
        co_await reply.send(http::json_response(
            http::status::ok,
            R"({"events":[{"object":{"metadata":{"name":"main","revision":6},)"
            R"("spec":{}},"tombstone":false}],"currentRev":6})"));
    }

private:
    int m_watches = 0;
};

struct delay_case
{
    const char* name;
    /// Time for which the process runs nothing.
    milliseconds process_delay;
    bool is_store_blamed;
};

void PrintTo(const delay_case& it, std::ostream* out)
{
    *out << it.name;
}

class unanswered_watches : public testing::TestWithParam<delay_case>
{
};

// Guards against a host that takes its own delay for the silence of the store,
// and asks it no more for what it has missed.
TEST_P(unanswered_watches, are_blamed_on_who_was_late)
{
    net::io_context served;
    forgetful_store store;
    http::server<forgetful_store> server({net::ip::address_v4::loopback(), 0},
                                         {}, {{served, store}});
    server.start();
    std::thread thread([&] { served.run(); });

    net::io_context context(1);
    http::client_pool pool(context, milliseconds(300), 1);
    object_client client(pool, server.local_endpoint(), timing,
                         adapter::object_store_dialect);
    std::optional<time_point> known_at;
    daemon::collection_follower follower(
        context, client, collection::configurations,
        [&](const stored_object&)
        {
            known_at = known_at.value_or(monotonic_clock::now());
            context.stop();
        },
        [](bool) {},
        [] {
            return daemon::follow_pace{milliseconds(50), {}};
        });
    follower.start();
    net::steady_timer stall(context, milliseconds(150));
    time_point stall_ended_at;
    stall.async_wait(
        [&](boost::system::error_code)
        {
            std::this_thread::sleep_for(GetParam().process_delay);
            stall_ended_at = monotonic_clock::now();
        });
    bool was_reachable = false;
    bool was_blamed = false;
    while (!known_at && context.run_one_for(seconds(3)) > 0)
    {
        was_reachable |= follower.is_platform_reachable();
        was_blamed |= was_reachable && !follower.is_platform_reachable();
    }
    served.stop();
    thread.join();
    ASSERT_TRUE(known_at);
    EXPECT_EQ(was_blamed, GetParam().is_store_blamed);
    if (!GetParam().is_store_blamed)
    {
        EXPECT_LT(*known_at - stall_ended_at, milliseconds(150));
    }
}

INSTANTIATE_TEST_SUITE_P(
    platform, unanswered_watches,
    testing::Values(delay_case{"store", milliseconds(0), true},
                    delay_case{"process", milliseconds(1'000), false}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::platform
