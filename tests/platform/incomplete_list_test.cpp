#include "core/json_reader.hpp"
#include "core/structured_log.hpp"
#include "daemon/collection_follower.hpp"
#include "http/request_target.hpp"
#include "http/server.hpp"
#include "object_store_dialect.hpp"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <set>

namespace cicadahub::platform
{
namespace
{

namespace net = boost::asio;

constexpr client_timing timing{milliseconds(300), milliseconds(1'000)};
/// Enough for several lists if they came without a pause.
constexpr milliseconds run_time{500};

struct store_script
{
    const char* name;
    http::status first_status;
    http::status later_status;
    std::string first_page;
    std::string later_page;
};

void PrintTo(const store_script& it, std::ostream* out)
{
    *out << it.name;
}

/// A store that answers the first page of a list, the later ones and a watch as
/// told.
class scripted_store
{
public:
    explicit scripted_store(const store_script& script) : m_script(script) {}

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply)
    {
        const auto target = http::parse_target(message.target());
        if (target.parameters.contains("watch"))
        {
            co_await answer_watch(reply);
            co_return;
        }
        const bool is_first = target.parameters.empty();
        ++(is_first ? first_pages : later_pages);
        co_await reply.send(http::json_response(
            is_first ? m_script.first_status : m_script.later_status,
            is_first ? m_script.first_page : m_script.later_page));
    }

    int first_pages = 0;
    int later_pages = 0;

private:
    net::awaitable<void> answer_watch(http::reply_writer& reply)
    {
        ++m_watches;
        if (m_watches > 1)
        {
            net::steady_timer timer(co_await net::this_coro::executor,
                                    milliseconds(20));
            co_await timer.async_wait(net::use_awaitable);
        }
        co_await reply.send(http::json_response(
            http::status::ok,
            m_watches > 1
                ? R"({"events":[],"currentRev":6})"
                : R"({"events":[{"object":{"metadata":{"name":"changed",)"
                  R"("revision":6},"spec":{}},"tombstone":false}],)"
                  R"("currentRev":6})"));
    }

    store_script m_script;
    int m_watches = 0;
};

/// What a follower of a store delivers within `run_time`.
struct followed
{
    explicit followed(const store_script& script) : store(script)
    {
        net::io_context context(1);
        http::server<scripted_store> server(
            {net::ip::address_v4::loopback(), 0}, {}, {{context, store}});
        server.start();
        http::client_pool pool(context, milliseconds(300), 1);
        object_client client(pool, server.local_endpoint(), timing,
                             adapter::object_store_dialect);
        daemon::collection_follower follower(
            context, client, collection::servers,
            [&](const stored_object& it) { names.insert(it.name); },
            [&](bool is_full_list) { has_full_list |= is_full_list; },
            [] {
                return daemon::follow_pace{milliseconds(50), {}};
            });
        follower.start();
        context.run_for(run_time);
        version = follower.version();
        is_reachable = follower.is_platform_reachable();
    }

    scripted_store store;
    std::set<std::string> names;
    bool has_full_list = false;
    object_version version;
    bool is_reachable = false;
};

std::string item(const std::string& name)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":1},"spec":{}})";
}

std::string page(const std::string& items, bool has_more)
{
    return R"({"items":[)" + items + R"(],"hasMore":)" +
           (has_more ? "true" : "false") + R"(,"currentRev":5})";
}

const std::string first_page = page(item("a") + "," + item("b"), true);
const std::string nameless = R"({"metadata":{"revision":1},"spec":{}})";
constexpr http::status ok = http::status::ok;

class incomplete_lists : public testing::TestWithParam<store_script>
{
};

// Guards against a list that cannot be finished and keeps back all that was
// read of it, and against one that is asked for again and again.
TEST_P(incomplete_lists, deliver_what_was_read)
{
    const followed got(GetParam());
    EXPECT_EQ(got.names, (std::set<std::string>{"a", "b", "changed"}));
    // What is missing does not count as deleted, and peers are asked for it.
    EXPECT_FALSE(got.has_full_list);
    EXPECT_EQ(got.version, object_version{});
    EXPECT_TRUE(got.is_reachable);
    EXPECT_LE(got.store.first_pages, 3);
    EXPECT_LE(got.store.later_pages, 3);
}

INSTANTIATE_TEST_SUITE_P(
    collection_follower, incomplete_lists,
    testing::Values(store_script{"refused", ok, http::status::bad_request,
                                 first_page, "{}"},
                    store_script{"leading_back", ok, ok, first_page,
                                 first_page},
                    store_script{"malformed", ok, ok, first_page, "}"},
                    store_script{"without_a_name", ok, ok, first_page,
                                 page(nameless, true)}),
    [](const auto& it) { return std::string(it.param.name); });

class complete_lists : public testing::TestWithParam<store_script>
{
};

TEST_P(complete_lists, are_followed_behind_odd_objects)
{
    const followed got(GetParam());
    EXPECT_EQ(got.names, (std::set<std::string>{"a", "b", "changed"}));
    EXPECT_TRUE(got.has_full_list);
    EXPECT_EQ(got.version, object_version(6));
    EXPECT_EQ(got.store.first_pages, 1);
    EXPECT_EQ(got.store.later_pages, 1);
}

INSTANTIATE_TEST_SUITE_P(
    collection_follower, complete_lists,
    testing::Values(store_script{"nameless_at_the_end_of_a_page", ok, ok,
                                 page(item("a") + "," + nameless, true),
                                 page(nameless + "," + item("b"), false)},
                    store_script{"name_that_is_no_utf8", ok, ok,
                                 page(item("a") + "," + item("f\xff"), true),
                                 page(item("b"), false)},
                    store_script{
                        "metadata_that_cannot_be_read", ok, ok,
                        page(item("a") +
                                 R"(,{"metadata":{"name":"f","revision":1,)"
                                 R"("created":1e400},"spec":{}})",
                             true),
                        page(item("b"), false)}),
    [](const auto& it) { return std::string(it.param.name); });

// Passing over what the store withholds for a moment would take a part of the
// list for all that there is.
class withheld_pages : public testing::TestWithParam<http::status>
{
};

TEST_P(withheld_pages, are_waited_for)
{
    const followed got(
        {"", ok, GetParam(), first_page, page(item("c"), false)});
    EXPECT_TRUE(got.names.empty());
    EXPECT_FALSE(got.is_reachable);
}

INSTANTIATE_TEST_SUITE_P(collection_follower, withheld_pages,
                         testing::Values(http::status::too_many_requests,
                                         http::status::service_unavailable,
                                         http::status::request_timeout),
                         [](const auto& it) {
                             return std::to_string(
                                 static_cast<unsigned>(it.param));
                         });

// Guards against a host that never becomes ready and does not say why.
TEST(collection_follower, logs_once_why_a_store_never_answered)
{
    testing::internal::CaptureStdout();
    open_structured_log("host");
    const followed got({"", http::status::bad_request, ok, "{}", "{}"});
    close_structured_log();
    const std::string text = testing::internal::GetCapturedStdout();
    EXPECT_FALSE(got.is_reachable);
    EXPECT_GT(got.store.first_pages, 1);
    const boost::json::object json = parse_json_object(text);
    const json_reader line(json);
    EXPECT_EQ(line.text("name"), "platform_unreachable");
    EXPECT_EQ(line.text("collection"), "servers");
    EXPECT_NE(line.text("reason").find("400"), std::string::npos);
}

} // namespace
} // namespace cicadahub::platform
