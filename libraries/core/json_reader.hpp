#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cicadahub
{

/// Reads the members of an untrusted JSON object. A member that is missing or
/// of the wrong type raises a `malformed_document` that names it; the functions
/// that take a fallback return it if the member is missing. The object must
/// outlive the reader.
class json_reader
{
public:
    explicit json_reader(const boost::json::object& object) : m_object(object)
    {
    }

    std::string text(std::string_view member) const;
    std::string text_or(std::string_view member,
                        std::string_view fallback) const;
    std::int64_t integer(std::string_view member) const;
    std::int64_t integer_or(std::string_view member,
                            std::int64_t fallback) const;
    double number(std::string_view member) const;
    bool boolean_or(std::string_view member, bool fallback) const;
    const boost::json::object& object(std::string_view member) const;
    const boost::json::array& array(std::string_view member) const;

private:
    const boost::json::value& member_of(std::string_view member) const;

    const boost::json::object& m_object;
};

/// Parses a JSON object; throws `malformed_document` if the text is anything
/// else.
boost::json::object parse_json_object(std::string_view text);

} // namespace cicadahub
