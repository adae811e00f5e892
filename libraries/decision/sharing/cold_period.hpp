#pragma once

#include "core/units.hpp"

#include <optional>

namespace cicadahub::sharing
{

/// How long one incarnation of a server remains cold, as far as this host
/// knows. All times are of this host's own clock.
class cold_period
{
public:
    /// Clocks of hosts and servers may differ by this.
    static constexpr milliseconds clock_tolerance{10'000};
    /// Longer statements are taken for this long.
    static constexpr milliseconds max_length{600'000};
    /// A statement that the server is warm may have been made this long before
    /// it arrived, and so before one that it is cold.
    static constexpr milliseconds statement_delay{2'000};

    /// Whether an incarnation that became known at `first_seen`, and was of
    /// `age` then by its own clock if it tells that, may have started while
    /// there was traffic.
    static bool is_start_during_traffic(time_point first_seen,
                                        std::optional<milliseconds> age,
                                        time_point traffic_since);
    /// End of the period of an incarnation that became known at `first_seen`.
    /// `age` is the time since its start by its own clock, if it tells that.
    static time_point assumed_end(milliseconds length, time_point first_seen,
                                  std::optional<milliseconds> age);

    /// The incarnation is assumed to be cold until `end`.
    void assume(time_point end);
    /// Its entry says that it remains cold for `left`. 0 does not end the
    /// period: the entry may have been written before it began.
    void on_entry(milliseconds left, time_point now);
    /// The same from an answer of the server, which ends the period if it says
    /// 0, unless a statement of the opposite came shortly before.
    void on_answer(milliseconds left, time_point now);
    /// Another host knows first-hand that the server remains cold for `left`.
    void on_peer(milliseconds left, time_point received_at);

    bool is_cold(time_point now) const { return now < end(); }
    time_point end() const;
    milliseconds left(time_point now) const;
    /// Time left as this host knows it first-hand. Only that is told to other
    /// hosts: relative times that are handed on grow by each delay, so that a
    /// period would never end.
    milliseconds left_first_hand(time_point now) const;

private:
    void extend(time_point& until, milliseconds left, time_point now);

    time_point m_assumed_until{};
    time_point m_stated_until{};
    time_point m_told_until{};
    std::optional<time_point> m_stated_at;
};

} // namespace cicadahub::sharing
