#include "core/json_reader.hpp"

#include "core/errors.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub
{

namespace
{

[[noreturn]] void fail(std::string_view member, std::string_view expected)
{
    throw malformed_document("member \"" + std::string(member) + "\" must be " +
                             std::string(expected));
}

/// The parser reads numbers beyond the range of the type as infinite, which no
/// JSON text can express.
bool has_only_finite_numbers(const boost::json::value& it)
{
    if (const auto* object = it.if_object())
    {
        return std::all_of(object->begin(), object->end(),
                           [](const auto& member)
                           { return has_only_finite_numbers(member.value()); });
    }
    if (const auto* array = it.if_array())
    {
        return std::all_of(array->begin(), array->end(),
                           has_only_finite_numbers);
    }
    const double* number = it.if_double();
    return number == nullptr || std::isfinite(*number);
}

} // namespace

const boost::json::value& json_reader::member_of(std::string_view member) const
{
    const boost::json::value* it = m_object.if_contains(member);
    if (it == nullptr)
    {
        throw malformed_document("member \"" + std::string(member) +
                                 "\" is missing");
    }
    return *it;
}

std::string json_reader::text(std::string_view member) const
{
    const boost::json::string* it = member_of(member).if_string();
    if (it == nullptr)
    {
        fail(member, "a string");
    }
    return std::string(*it);
}

std::string json_reader::text_or(std::string_view member,
                                 std::string_view fallback) const
{
    return m_object.contains(member) ? text(member) : std::string(fallback);
}

std::int64_t json_reader::integer(std::string_view member) const
{
    const boost::json::value& it = member_of(member);
    boost::json::error_code ec;
    const auto n = it.to_number<std::int64_t>(ec);
    if (ec)
    {
        fail(member, "a whole number");
    }
    return n;
}

std::int64_t json_reader::integer_or(std::string_view member,
                                     std::int64_t fallback) const
{
    return m_object.contains(member) ? integer(member) : fallback;
}

double json_reader::number(std::string_view member) const
{
    const boost::json::value& it = member_of(member);
    boost::json::error_code ec;
    const auto n = it.to_number<double>(ec);
    if (ec)
    {
        fail(member, "a number");
    }
    return n;
}

bool json_reader::boolean_or(std::string_view member, bool fallback) const
{
    if (!m_object.contains(member))
    {
        return fallback;
    }
    const bool* it = member_of(member).if_bool();
    if (it == nullptr)
    {
        fail(member, "true or false");
    }
    return *it;
}

const boost::json::object& json_reader::object(std::string_view member) const
{
    const boost::json::object* it = member_of(member).if_object();
    if (it == nullptr)
    {
        fail(member, "an object");
    }
    return *it;
}

const boost::json::array& json_reader::array(std::string_view member) const
{
    const boost::json::array* it = member_of(member).if_array();
    if (it == nullptr)
    {
        fail(member, "an array");
    }
    return *it;
}

boost::json::object parse_json_object(std::string_view text)
{
    boost::json::error_code ec;
    boost::json::value it = boost::json::parse(text, ec);
    if (ec || !it.is_object())
    {
        throw malformed_document("the text is not a JSON object" +
                                 (ec ? ": " + ec.message() : std::string()));
    }
    if (!has_only_finite_numbers(it))
    {
        throw malformed_document("a number is too large");
    }
    return std::move(it.get_object());
}

} // namespace cicadahub
