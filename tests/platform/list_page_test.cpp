#include "object_store_dialect.hpp"

#include "core/errors.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

using platform::collection;

constexpr const char* readable =
    R"({"metadata":{"name":"a","revision":1},"spec":{}})";
constexpr const char* unreadable = R"({"metadata":{"name":"b"},"spec":{}})";

std::string page_of(const std::string& items, bool has_more)
{
    return R"({"items":[)" + items + R"(],"hasMore":)" +
           (has_more ? "true" : "false") + R"(,"currentRev":5})";
}

struct page_case
{
    const char* name;
    std::string body;
    std::size_t objects;
    std::optional<std::string> next_after;
};

void PrintTo(const page_case& it, std::ostream* out)
{
    *out << it.name;
}

class list_pages : public testing::TestWithParam<page_case>
{
};

// A list that ends at a page with unreadable objects would lack the objects of
// the later pages, which then count as deleted.
TEST_P(list_pages, continue_after_the_last_object_even_if_it_is_unreadable)
{
    const platform::list_page page =
        object_store_dialect.read_list(collection::servers, GetParam().body);
    EXPECT_EQ(page.content.objects.size(), GetParam().objects);
    EXPECT_EQ(page.next_after, GetParam().next_after);
}

const std::string both = std::string(readable) + "," + unreadable;

INSTANTIATE_TEST_SUITE_P(
    object_store_dialect, list_pages,
    testing::Values(
        page_case{"last_page", page_of(readable, false), 1, std::nullopt},
        page_case{"readable", page_of(readable, true), 1, "a"},
        page_case{"unreadable_last", page_of(both, true), 1, "b"},
        page_case{"all_unreadable", page_of(unreadable, true), 0, "b"},
        page_case{"empty_last_page", page_of("", false), 0, std::nullopt}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(list_page, that_cannot_be_continued_is_an_error)
{
    for (const char* items : {"", "3", R"({"metadata":{}})"})
    {
        EXPECT_THROW(object_store_dialect.read_list(collection::servers,
                                                    page_of(items, true)),
                     malformed_document)
            << items;
    }
}

// Taken for the last one, it would make the objects of the later pages count as
// deleted.
TEST(list_page, whose_mark_of_a_next_one_cannot_be_read_is_an_error)
{
    EXPECT_THROW(object_store_dialect.read_list(
                     collection::servers,
                     R"({"items":[],"hasMore":tru,"currentRev":5})"),
                 malformed_document);
}

} // namespace
} // namespace cicadahub::adapter
