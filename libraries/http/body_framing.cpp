#include "http/body_framing.hpp"

#include <array>

namespace cicadahub::http
{

std::string_view name_of(body_framing it)
{
    constexpr std::array<std::string_view, 4> names{"no-body", "content-length",
                                                    "chunked", "until-close"};
    return names.at(static_cast<std::size_t>(it));
}

} // namespace cicadahub::http
