#include "core/json_parts.hpp"

#include "core/errors.hpp"

#include <gtest/gtest.h>

namespace cicadahub
{
namespace
{

using parts = std::vector<std::string_view>;

struct element_case
{
    const char* name;
    std::string text;
    parts elements;
};

void PrintTo(const element_case& it, std::ostream* out)
{
    *out << it.name;
}

class json_elements : public testing::TestWithParam<element_case>
{
};

TEST_P(json_elements, are_told_apart_without_being_read)
{
    EXPECT_EQ(elements_of_json(GetParam().text), GetParam().elements);
}

const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');

INSTANTIATE_TEST_SUITE_P(
    json_parts, json_elements,
    testing::Values(
        element_case{"none", " [ ] ", {}},
        element_case{"scalars",
                     "[1, 1e999999999999 ,null]",
                     {"1", "1e999999999999", "null"}},
        element_case{
            "strings", R"(["a,]\"\\","[{"])", {R"("a,]\"\\")", R"("[{")"}},
        element_case{"nested",
                     R"([{"a":["}",{}]},[[]]])",
                     {R"({"a":["}",{}]})", "[[]]"}},
        element_case{"deep", "[" + deep + ",2]", {deep, "2"}},
        element_case{"no_text", "[\"\xff\xfe\",2]", {"\"\xff\xfe\"", "2"}}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(json_parts, members_are_found_by_name)
{
    const json_members members =
        members_of_json(R"({"a" : {"b":[1,2]}, "b":1e400,"a":3})");
    EXPECT_EQ(members.size(), 2U);
    EXPECT_EQ(text_of_member(members, "a"), "3");
    EXPECT_EQ(text_of_member(members, "b"), "1e400");
    EXPECT_THROW(text_of_member(members, "c"), malformed_document);
}

TEST(json_parts, texts_without_parts_are_errors)
{
    for (const char* text : {"", "[", "[1", "[1,", "[1,]", "[1 2]", "[1]]",
                             "[\"a", "[\"a\\", "[{]", "[{\"a\":[}", "{}", "3"})
    {
        EXPECT_THROW(elements_of_json(text), malformed_document) << text;
    }
    for (const char* text : {"", "{", "{\"a\"", "{\"a\":", "{\"a\":}", "{a:1}",
                             "{\"a\":1,}", "{\"a\":1", "[]", "{}}", "{1:2}"})
    {
        EXPECT_THROW(members_of_json(text), malformed_document) << text;
    }
}

} // namespace
} // namespace cicadahub
