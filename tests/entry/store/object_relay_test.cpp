#include "entry/store/object_relay.hpp"

#include "core/store_version.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "odd_names.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <set>

namespace cicadahub::entry
{
namespace
{

using platform::collection;

object_version at(std::uint64_t revision, std::uint32_t era = 0)
{
    return in_era(store_era(era), revision);
}

platform::stored_object object(const std::string& name, object_version version,
                               bool is_deleted = false)
{
    platform::stored_object it;
    it.name = name;
    it.version = version;
    it.spec = {{"of", name}};
    it.is_deleted = is_deleted;
    return it;
}

/// A relay that has known of two servers since revision 10; since then one was
/// added, one changed, and two were removed.
object_relay make_relay()
{
    object_relay it;
    for (const char* name : {"same", "changed", "removed", "missing"})
    {
        it.on_object(collection::servers, object(name, at(5)));
    }
    it.end_of_batch(collection::servers, true, at(10));
    it.on_object(collection::servers, object("changed", at(12)));
    it.on_object(collection::servers, object("removed", at(13), true));
    it.end_of_batch(collection::servers, false, at(13));
    for (const auto& [name, version] :
         {std::pair{"same", 5U}, {"changed", 12U}, {"added", 19U}})
    {
        it.on_object(collection::servers, object(name, at(version)));
    }
    it.end_of_batch(collection::servers, true, at(20));
    return it;
}

relayed_listing ask(object_relay& relay, object_version known)
{
    net::io_context context;
    http::server<object_relay> server({net::ip::address_v4::loopback(), 0},
                                      http::server_limits{},
                                      {{context, relay}});
    server.start();
    http::client_pool pool(context, milliseconds(500), 1);
    relayed_listing got;
    const auto run = [&]() -> net::awaitable<void>
    {
        const http::response answer = co_await http::fetch(
            pool, server.local_endpoint(),
            object_relay::make_request(collection::servers, known),
            milliseconds(500));
        got = object_relay::read_answer(answer);
        context.stop();
    };
    net::co_spawn(context, run(), net::detached);
    context.run_for(seconds(2));
    return got;
}

struct known_case
{
    const char* name;
    object_version known;
    object_version since;
    std::set<std::string> objects;
    std::set<std::string> removed;
};

void PrintTo(const known_case& it, std::ostream* out)
{
    *out << it.name;
}

class relayed_objects : public testing::TestWithParam<known_case>
{
};

// Guards against links that are full of lists of all servers while these change
// and many hosts are turned away by the store.
TEST_P(relayed_objects, are_those_that_the_other_host_lacks)
{
    object_relay relay = make_relay();
    const relayed_listing got = ask(relay, GetParam().known);
    std::set<std::string> objects;
    std::set<std::string> removed;
    for (const auto& it : got.changes.objects)
    {
        (it.is_deleted ? removed : objects).insert(it.name);
    }
    EXPECT_EQ(got.changes.version, at(20));
    EXPECT_EQ(got.since, GetParam().since);
    EXPECT_EQ(objects, GetParam().objects);
    EXPECT_EQ(removed, GetParam().removed);
}

const std::set<std::string> all_objects{"same", "changed", "added"};

INSTANTIATE_TEST_SUITE_P(
    object_relay, relayed_objects,
    testing::Values(
        known_case{"unknown", {}, {}, all_objects, {}},
        known_case{"before_its_first_list", at(9), {}, all_objects, {}},
        known_case{"its_first_list",
                   at(10),
                   at(10),
                   {"changed", "added"},
                   {"removed", "missing"}},
        known_case{"in_between", at(13), at(13), {"added"}, {"missing"}},
        known_case{"all", at(20), at(20), {}, {}},
        known_case{"later", at(21), {}, all_objects, {}},
        known_case{"of_another_era", at(15, 1), {}, all_objects, {}}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a peer's copy of which one odd object hides all others.
TEST(relayed_listing, lacks_only_objects_that_cannot_be_read)
{
    http::response answer;
    answer.body() =
        R"({"revision":9,"objects":[{"name":"a","version":1,"spec":{}},)"
        R"({"name":"b","version":2,"spec":{"odd":1e400}},3,)"
        R"({"name":"c","version":3,"spec":{}}],"since":4,"removed":)"
        R"([{"name":5,"version":6},{"name":"d","version":7}]})";
    const relayed_listing got = object_relay::read_answer(answer);
    std::vector<std::string> names;
    for (const platform::stored_object& it : got.changes.objects)
    {
        names.push_back(it.name + (it.is_deleted ? " removed" : ""));
    }
    EXPECT_EQ(names, (std::vector<std::string>{"a", "c", "d removed"}));
    EXPECT_EQ(got.changes.version, at(9));
    EXPECT_EQ(got.since, at(4));
}

// Names of other writers reach hosts that the store turns away.
TEST(object_relay, keeps_odd_names)
{
    object_relay relay;
    for (const fakes::odd_name& it : fakes::odd_names())
    {
        relay.on_object(collection::servers, object(it.text, at(5)));
    }
    relay.end_of_batch(collection::servers, true, at(10));
    std::set<std::string> got;
    for (const auto& it : ask(relay, {}).changes.objects)
    {
        got.insert(it.name);
    }
    for (const fakes::odd_name& it : fakes::odd_names())
    {
        EXPECT_TRUE(got.contains(it.text)) << it.label;
    }
}

} // namespace
} // namespace cicadahub::entry
