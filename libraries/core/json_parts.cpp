#include "core/json_parts.hpp"

#include "core/errors.hpp"

#include <algorithm>
#include <cstddef>
#include <string>

namespace cicadahub
{

namespace
{

constexpr std::string_view whitespace = " \t\r\n";
constexpr std::string_view end_of_scalar = ",]} \t\r\n";

class part_reader
{
public:
    explicit part_reader(std::string_view text) : m_text(text) {}

    /// True, and the character is consumed, if it is the next one.
    bool skip(char it)
    {
        skip_whitespace();
        if (m_at == m_text.size() || m_text[m_at] != it)
        {
            return false;
        }
        ++m_at;
        return true;
    }

    void expect(char it)
    {
        if (!skip(it))
        {
            throw malformed_document(std::string("the text lacks a '") + it +
                                     "' at byte " + std::to_string(m_at));
        }
    }

    void expect_end()
    {
        skip_whitespace();
        if (m_at != m_text.size())
        {
            throw malformed_document("the text goes on behind its value");
        }
    }

    std::string_view value()
    {
        skip_whitespace();
        const std::size_t begin = m_at;
        std::size_t depth = 0;
        do
        {
            const char next = peek();
            if (next == '"')
            {
                skip_string();
            }
            else if (next == '{' || next == '[')
            {
                ++depth;
                ++m_at;
            }
            else if (depth > 0 && (next == '}' || next == ']'))
            {
                --depth;
                ++m_at;
            }
            else if (depth > 0)
            {
                ++m_at;
            }
            else
            {
                skip_scalar();
            }
        } while (depth > 0);
        return m_text.substr(begin, m_at - begin);
    }

private:
    char peek() const
    {
        if (m_at == m_text.size())
        {
            throw malformed_document("the text ends within a value");
        }
        return m_text[m_at];
    }

    void skip_whitespace()
    {
        m_at =
            std::min(m_text.find_first_not_of(whitespace, m_at), m_text.size());
    }

    void skip_string()
    {
        constexpr std::string_view quote_or_escape = "\"\\";
        ++m_at;
        while (true)
        {
            m_at = std::min(m_text.find_first_of(quote_or_escape, m_at),
                            m_text.size());
            if (peek() == '"')
            {
                ++m_at;
                return;
            }
            m_at = std::min(m_at + 2, m_text.size());
        }
    }

    void skip_scalar()
    {
        const std::size_t end =
            std::min(m_text.find_first_of(end_of_scalar, m_at), m_text.size());
        if (end == m_at)
        {
            throw malformed_document("the text lacks a value at byte " +
                                     std::to_string(m_at));
        }
        m_at = end;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

std::string_view without_quotes(std::string_view text)
{
    if (text.size() < 2 || text.front() != '"')
    {
        throw malformed_document("the name of a member must be a string");
    }
    return text.substr(1, text.size() - 2);
}

} // namespace

json_members members_of_json(std::string_view text)
{
    part_reader reader(text);
    json_members members;
    reader.expect('{');
    if (!reader.skip('}'))
    {
        do
        {
            const std::string_view name = without_quotes(reader.value());
            reader.expect(':');
            members[name] = reader.value();
        } while (reader.skip(','));
        reader.expect('}');
    }
    reader.expect_end();
    return members;
}

std::string_view text_of_member(const json_members& members,
                                std::string_view name)
{
    const auto it = members.find(name);
    if (it == members.end())
    {
        throw malformed_document("member \"" + std::string(name) +
                                 "\" is missing");
    }
    return it->second;
}

std::vector<std::string_view> elements_of_json(std::string_view text)
{
    part_reader reader(text);
    std::vector<std::string_view> elements;
    reader.expect('[');
    if (!reader.skip(']'))
    {
        do
        {
            elements.push_back(reader.value());
        } while (reader.skip(','));
        reader.expect(']');
    }
    reader.expect_end();
    return elements;
}

} // namespace cicadahub
