#include "entry/dialects.hpp"

#include <array>

namespace cicadahub::entry
{

std::string_view name_of(named_party it)
{
    constexpr std::array<std::string_view, 3> names{"missing", "expected",
                                                    "other"};
    return names.at(static_cast<std::size_t>(it));
}

} // namespace cicadahub::entry
