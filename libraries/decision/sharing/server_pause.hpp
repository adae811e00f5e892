#pragma once

#include "core/units.hpp"

namespace cicadahub::sharing
{

/// Pause that a backend server asked this host for. A pause says nothing about
/// the server's health.
class server_pause
{
public:
    /// Longer requests are cut to this, so that no answer takes a server out of
    /// use for good.
    static constexpr milliseconds max_length{60'000};
    /// Hosts return within this part of the pause after its end, but not later
    /// than `max_spread`, so that they do not all return at once.
    static constexpr double spread_fraction = 0.25;
    static constexpr milliseconds max_spread{500};

    /// Extends the pause; one that would end earlier than the current one is
    /// ignored. `draw`, from 0 to 1, places this host's return in the spread.
    /// Returns true if the pause was extended.
    bool on_requested(time_point now, milliseconds length, double draw);

    bool is_active(time_point now) const { return now < m_return_at; }

    /// Time until this host may send again; 0 if it may now.
    milliseconds left(time_point now) const;

private:
    time_point m_ends_at{};
    time_point m_return_at{};
};

} // namespace cicadahub::sharing
