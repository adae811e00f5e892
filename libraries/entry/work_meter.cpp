#include "entry/work_meter.hpp"

#include <utility>

namespace cicadahub::entry
{

std::string_view name_of(duty it)
{
    constexpr std::array<std::string_view, duty_count> names{
        "digests_received", "digests_sent", "server_choice", "planning",
        "objects"};
    return names.at(static_cast<std::size_t>(it));
}

work_meter::amounts work_meter::take()
{
    return std::exchange(m_amounts, {});
}

} // namespace cicadahub::entry
