#include "decision/admission/connection_table.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cicadahub::admission
{
namespace
{

using bound = connection_table::bound;

constexpr connection_bounds bounds{4, 3};

struct table_case
{
    const char* name;
    /// Addresses of the connections that come, and the bound that the last
    /// one reaches.
    std::vector<const char*> addresses;
    bound reached;
    /// The connection that is closed for the last one if all wait.
    int closed;
};

class tables : public testing::TestWithParam<table_case>
{
protected:
    connection_table::verdict admit_all(bool are_busy)
    {
        connection_table::verdict last;
        for (const char* it : GetParam().addresses)
        {
            const int n = m_count++;
            last = m_subject.admit(it, [this, n] { m_closed = n; });
            if (last.taken)
            {
                m_handles.push_back(*last.taken);
            }
            if (last.taken && are_busy)
            {
                m_subject.set_busy(*last.taken);
            }
        }
        return last;
    }

    connection_table m_subject{bounds};
    std::vector<connection_table::handle> m_handles;
    int m_count = 0;
    int m_closed = -1;
};

// Guards against waiting clients that keep others from a host.
TEST_P(tables, close_the_connection_that_has_waited_longest)
{
    const auto last = admit_all(false);
    EXPECT_TRUE(last.taken);
    EXPECT_EQ(last.reached, GetParam().reached);
    EXPECT_EQ(m_closed, GetParam().closed);
    EXPECT_LE(m_subject.size(), bounds.all);
    for (const auto it : m_handles)
    {
        m_subject.remove(it);
    }
    EXPECT_EQ(m_subject.size(), 0U);
}

// Guards against requests that are cut off for new connections.
TEST_P(tables, keep_the_connections_of_requests)
{
    const auto last = admit_all(true);
    EXPECT_EQ(last.taken.has_value(), GetParam().reached == bound::none);
    EXPECT_EQ(last.reached, GetParam().reached);
    EXPECT_EQ(m_closed, -1);
}

INSTANTIATE_TEST_SUITE_P(
    connections, tables,
    testing::Values(
        table_case{"below_all_bounds", {"a", "b", "a"}, bound::none, -1},
        table_case{"of_one_address_among_others",
                   {"b", "a", "a", "a", "a"},
                   bound::per_address,
                   1},
        table_case{
            "of_an_address_alone", {"a", "a", "a", "a"}, bound::per_address, 0},
        table_case{"of_all", {"b", "a", "a", "c", "d"}, bound::all, 1}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::admission
