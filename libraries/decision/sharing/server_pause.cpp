#include "decision/sharing/server_pause.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

bool server_pause::on_requested(time_point now, milliseconds length,
                                double draw)
{
    length = std::min(length, max_length);
    const time_point ends_at = now + length;
    if (ends_at <= m_ends_at)
    {
        return false;
    }
    m_ends_at = ends_at;
    const auto spread = std::min<std::chrono::duration<double, std::milli>>(
        length * spread_fraction, max_spread);
    m_return_at =
        ends_at +
        std::chrono::duration_cast<monotonic_clock::duration>(spread * draw);
    return true;
}

milliseconds server_pause::left(time_point now) const
{
    return is_active(now) ? std::chrono::ceil<milliseconds>(m_return_at - now)
                          : milliseconds(0);
}

} // namespace cicadahub::sharing
