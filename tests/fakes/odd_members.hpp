#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace cicadahub::fakes
{

/// A member that makes the spec unreadable in which another writer left it.
struct odd_member
{
    const char* name;
    std::string text;
};

inline void PrintTo(const odd_member& it, std::ostream* out)
{
    *out << it.name;
}

inline std::string nested_member(std::size_t depth)
{
    return R"("odd":)" + std::string(depth, '[') + std::string(depth, ']');
}

inline std::vector<odd_member> odd_members()
{
    return {{"number_beyond_double", R"("coldLeftMs":1e400)"},
            {"exponent_overflow", R"("coldLeftMs":1e99999999999)"},
            {"nested_40", nested_member(40)},
            {"nested_5000", nested_member(5'000)},
            {"no_text", "\"odd\":\"\xff\xfe\""},
            {"no_json", R"("odd":nothing)"}};
}

} // namespace cicadahub::fakes
