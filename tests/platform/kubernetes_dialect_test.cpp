#include "platform/kubernetes_dialect.hpp"

#include "core/errors.hpp"
#include "odd_members.hpp"

#include <gtest/gtest.h>

namespace cicadahub::platform
{
namespace
{

std::string object_of(const std::string& name, const std::string& member)
{
    return R"({"metadata":{"name":")" + name +
           R"(","resourceVersion":"7"},"spec":{)" + member + "}}";
}

std::string event_of(const std::string& type, const std::string& object)
{
    return R"({"type":")" + type + R"(","object":)" + object + "}\n";
}

const std::string sound = R"("role":"engine")";

class odd_objects : public testing::TestWithParam<fakes::odd_member>
{
protected:
    /// The odd object stands between two sound ones.
    static void expect_only_odd_unreadable(const std::vector<stored_object>& it)
    {
        ASSERT_EQ(it.size(), 3U);
        EXPECT_EQ(it[0].spec.size(), 1U);
        EXPECT_EQ(it[1].name, "b");
        EXPECT_EQ(it[1].version.value(), 7U);
        EXPECT_TRUE(it[1].spec.empty());
        EXPECT_EQ(it[2].spec.size(), 1U);
    }
};

// Guards against one object of another writer that hides all others.
TEST_P(odd_objects, cost_only_themselves_in_a_list)
{
    const std::string body =
        R"({"metadata":{"resourceVersion":"9"},"items":[)" +
        object_of("a", sound) + "," + object_of("b", GetParam().text) + "," +
        object_of("c", sound) + "]}";
    expect_only_odd_unreadable(
        kubernetes_dialect.read_list(collection::hosts, body).content.objects);
}

TEST_P(odd_objects, cost_only_themselves_in_a_watch)
{
    const std::string body =
        event_of("ADDED", object_of("a", sound)) +
        event_of("ADDED", object_of("b", GetParam().text)) +
        event_of("MODIFIED", object_of("c", sound));
    const listing changes = kubernetes_dialect.read_watch(
        collection::hosts, object_version(5), body);
    EXPECT_EQ(changes.version.value(), 7U);
    expect_only_odd_unreadable(changes.objects);
}

TEST_P(odd_objects, can_be_deleted)
{
    const listing changes = kubernetes_dialect.read_watch(
        collection::hosts, object_version(5),
        event_of("DELETED", object_of("b", GetParam().text)));
    ASSERT_EQ(changes.objects.size(), 1U);
    EXPECT_TRUE(changes.objects[0].is_deleted);
}

INSTANTIATE_TEST_SUITE_P(kubernetes_dialect, odd_objects,
                         testing::ValuesIn(fakes::odd_members()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

TEST(kubernetes_dialect, tells_an_expired_watch_and_a_bookmark)
{
    EXPECT_THROW(
        kubernetes_dialect.read_watch(collection::hosts, object_version(5),
                                      event_of("ERROR", R"({"code":410})")),
        watch_expired);
    const listing changes = kubernetes_dialect.read_watch(
        collection::hosts, object_version(5),
        event_of("BOOKMARK", R"({"metadata":{"resourceVersion":"8"}})"));
    EXPECT_EQ(changes.version.value(), 8U);
    EXPECT_TRUE(changes.objects.empty());
}

} // namespace
} // namespace cicadahub::platform
