#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cicadahub
{

/// Reads the members of a JSON object that comes from outside. Every function
/// throws `malformed_document` naming the member that is wrong.
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

/// Parses text that must be one JSON object.
boost::json::object parse_json_object(std::string_view text);

} // namespace cicadahub
