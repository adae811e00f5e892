#include "documents.hpp"
#include "object_store_dialect.hpp"

#include "core/errors.hpp"
#include "odd_members.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

using platform::collection;
using platform::stored_object;

std::string entry_of(const std::string& name, const std::string& member)
{
    return R"({"metadata":{"name":")" + name +
           R"(","revision":7},"spec":{"service":"s","address":"127.0.0.1:80",)"
           R"("zone":"z","slots":4,"state":"ready",)" +
           member + "}}";
}

const std::string sound = R"("seq":1)";

class odd_entries : public testing::TestWithParam<fakes::odd_member>
{
protected:
    /// The odd entry stands between two sound ones.
    static void expect_only_odd_unreadable(const std::vector<stored_object>& it)
    {
        ASSERT_EQ(it.size(), 3U);
        EXPECT_EQ(it[1].name, "b");
        EXPECT_EQ(it[1].version.value(), 7U);
        EXPECT_NO_THROW(documents.read_server(it[0]));
        EXPECT_THROW(documents.read_server(it[1]), malformed_document);
        EXPECT_NO_THROW(documents.read_server(it[2]));
    }
};

// Guards against one entry that cannot be read and ends the following of all.
TEST_P(odd_entries, cost_only_themselves_in_a_list)
{
    const std::string body = R"({"items":[)" + entry_of("a", sound) + "," +
                             entry_of("b", GetParam().text) + "," +
                             entry_of("c", sound) +
                             R"(],"hasMore":false,"currentRev":9})";
    expect_only_odd_unreadable(
        object_store_dialect.read_list(collection::servers, body)
            .content.objects);
}

TEST_P(odd_entries, cost_only_themselves_in_a_watch)
{
    const auto event = [](const std::string& object)
    {
        return R"({"tombstone":false,"object":)" + object + "}";
    };
    const std::string body = R"({"events":[)" + event(entry_of("a", sound)) +
                             "," + event(entry_of("b", GetParam().text)) + "," +
                             event(entry_of("c", sound)) +
                             R"(],"currentRev":9})";
    const platform::listing changes = object_store_dialect.read_watch(
        collection::servers, object_version(5), body);
    EXPECT_EQ(changes.version.value(), 9U);
    expect_only_odd_unreadable(changes.objects);
}

std::string name_of_case(const testing::TestParamInfo<fakes::odd_member>& it)
{
    return it.param.name;
}

INSTANTIATE_TEST_SUITE_P(object_store_dialect, odd_entries,
                         testing::ValuesIn(fakes::odd_members()), name_of_case);

INSTANTIATE_TEST_SUITE_P(
    servers, odd_entries,
    testing::Values(
        fakes::odd_member{"port_zero", R"("address":"127.0.0.1:0")"},
        fakes::odd_member{"port_out_of_range",
                          R"("address":"127.0.0.1:65536")"},
        fakes::odd_member{"slots_out_of_range", R"("slots":4294967296)"},
        fakes::odd_member{"slots_of_another_type", R"("slots":"4")"}),
    name_of_case);

// The watch would return such an event again for as long as the store keeps it.
TEST(odd_entry, an_event_without_object_is_passed_over)
{
    const std::string body = R"({"events":[{"tombstone":false},3,)"
                             R"({"object":)" +
                             entry_of("a", sound) + R"(}],"currentRev":9})";
    const platform::listing changes = object_store_dialect.read_watch(
        collection::servers, object_version(5), body);
    EXPECT_EQ(changes.version.value(), 9U);
    EXPECT_EQ(changes.objects.size(), 1U);
}

} // namespace
} // namespace cicadahub::adapter
