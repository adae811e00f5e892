#include "entry/server_table.hpp"

#include <gtest/gtest.h>

namespace cicadahub::entry
{
namespace
{

serving::server_entry read_server(const platform::stored_object& it)
{
    serving::server_entry entry;
    entry.id = server_id(it.name);
    entry.revision = it.version;
    entry.incarnation = 1;
    entry.is_leaving = it.spec.contains("leaving");
    if (it.spec.contains("model"))
    {
        entry.models[model_id("m")];
    }
    return entry;
}

platform::stored_object object(const std::string& name, std::uint64_t version,
                               boost::json::object spec = {})
{
    platform::stored_object it;
    it.name = name;
    it.version = object_version(version);
    it.spec = std::move(spec);
    return it;
}

class server_table_test : public testing::Test
{
protected:
    std::uint64_t changed() const { return m_table.changed_version().value(); }

    document_dialect m_documents{{}, {}, read_server};
    server_table m_table{m_documents};
};

TEST_F(server_table_test, changes_of_holdings_keep_the_changed_version)
{
    m_table.apply(object("s", 5));
    EXPECT_EQ(changed(), 5U);
    m_table.apply(object("s", 6, {{"model", true}}));
    EXPECT_EQ(changed(), 5U);
    m_table.apply(object("s", 7, {{"leaving", true}}));
    EXPECT_EQ(changed(), 7U);
    platform::stored_object deleted = object("s", 9);
    deleted.is_deleted = true;
    m_table.apply(deleted);
    EXPECT_EQ(changed(), 9U);
}

TEST_F(server_table_test, a_full_list_removes_servers_missing_from_it)
{
    m_table.apply(object("s", 5));
    m_table.end_of_list(true, object_version(5));
    m_table.end_of_list(true, object_version(8));
    EXPECT_TRUE(m_table.records().empty());
    EXPECT_EQ(changed(), 8U);
}

// A watch may report a new server while an older list is still being fetched.
TEST_F(server_table_test, a_full_list_keeps_servers_newer_than_it)
{
    m_table.apply(object("new", 12));
    m_table.end_of_list(false, object_version(12));
    m_table.apply(object("old", 5));
    m_table.end_of_list(true, object_version(10));
    EXPECT_EQ(m_table.records().size(), 2U);
}

} // namespace
} // namespace cicadahub::entry
