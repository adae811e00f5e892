#include "http/event_splitter.hpp"

#include <gtest/gtest.h>

namespace cicadahub::http
{
namespace
{

struct split_case
{
    const char* name;
    std::string stream;
    /// Bytes of `stream` that belong to complete events.
    std::size_t complete_bytes;
};

void PrintTo(const split_case& it, std::ostream* out)
{
    *out << it.name;
}

class splits : public testing::TestWithParam<split_case>
{
};

// The splitter must find the same ends however the bytes arrive.
TEST_P(splits, end_where_events_end_in_reads_of_any_size)
{
    const split_case& row = GetParam();
    for (std::size_t size = 1; size <= row.stream.size(); ++size)
    {
        event_splitter subject;
        std::string seen;
        for (std::size_t at = 0; at < row.stream.size(); at += size)
        {
            seen += subject.add(std::string_view(row.stream).substr(at, size));
        }
        EXPECT_EQ(seen, row.stream.substr(0, row.complete_bytes));
        EXPECT_EQ(subject.partial_event_bytes(),
                  row.stream.size() - row.complete_bytes);
        EXPECT_EQ(subject.has_events(), row.complete_bytes > 0);
    }
}

INSTANTIATE_TEST_SUITE_P(
    event_splitter, splits,
    testing::Values(
        split_case{"line_feeds", "data: a\n\ndata: b\n\n", 18},
        split_case{"carriage_returns", "data: a\r\rdata: b\r\r", 18},
        split_case{"both", "data: a\r\n\r\ndata: b\r\n\r\n", 22},
        split_case{"mixed", "data: a\r\n\ndata: b\n\r\n", 20},
        split_case{"several_lines", "id: 1\ndata: a\n\nid: 2\n", 15},
        split_case{"inside_a_line", "data: a\n\nda", 9},
        split_case{"extra_blank_lines", "data: a\n\n\n\n", 11},
        split_case{"no_event", "data: a\n", 0}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(last_event_id, is_that_of_the_last_id_field)
{
    EXPECT_EQ(last_event_id("id: 1\ndata: a\n\nid:2\r\ndata: id: 9\r\n\r\n"),
              "2");
    EXPECT_EQ(last_event_id("data: a\n\n"), std::nullopt);
}

} // namespace
} // namespace cicadahub::http
