#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace cicadahub::fakes
{

/// Name that another writer may give to an object of the store.
struct odd_name
{
    const char* label;
    std::string text;
};

inline void PrintTo(const odd_name& it, std::ostream* out)
{
    *out << it.label;
}

/// They stand before names that begin with 'l' and later letters.
inline std::vector<odd_name> odd_names()
{
    constexpr std::size_t long_name_bytes = 3'000;
    return {{"ampersand", "f&b"},
            {"parameter", "f&watch=1"},
            {"plus", "f+b"},
            {"hash", "f#b"},
            {"percent", "f%"},
            {"percent_and_letters", "f%zz"},
            {"escape_of_a_letter", "f%41"},
            {"escape_of_nul", "f%00b"},
            {"nul", std::string("f\0b", 3)},
            {"blank", "f b"},
            {"blanks_only", "   "},
            {"blank_at_the_end", "f "},
            {"equals", "f=b"},
            {"quote", "f\"b"},
            {"backslash", "f\\b"},
            {"control_character", "f\x01"
                                  "b"},
            {"delete_character", "f\x7f"},
            {"line_end", "f\r\nX-Injected: 1"},
            {"line_feed", "f\nb"},
            {"beyond_ascii", "f\xc3\xa9\xf0\x9f\x90\x9c"},
            {"slash", "f/b"},
            {"parent", ".."},
            {"question_mark", "f?after=a"},
            {"braces", "f{[<|>]}^`"},
            {"mixture", "f &+#%=\"/?;:@$,\n\xc3\xa9"},
            {"long_text", std::string(long_name_bytes, 'f')}};
}

} // namespace cicadahub::fakes
