#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace cicadahub
{

/// Wraps a `Value` so that the compiler rejects mixing it with values of
/// another `Tag`.
template<class Tag, class Value>
class strong_type
{
public:
    using value_type = Value;

    strong_type() = default;
    explicit strong_type(Value value) : m_value(std::move(value)) {}

    const Value& value() const { return m_value; }

    friend auto operator<=>(const strong_type&, const strong_type&) = default;
    friend bool operator==(const strong_type&, const strong_type&) = default;

    friend std::ostream& operator<<(std::ostream& out, const strong_type& it)
    {
        return out << it.m_value;
    }

private:
    Value m_value{};
};

} // namespace cicadahub

template<class Tag, class Value>
struct std::hash<cicadahub::strong_type<Tag, Value>>
{
    std::size_t operator()(const cicadahub::strong_type<Tag, Value>& it) const
    {
        return std::hash<Value>{}(it.value());
    }
};
