#pragma once

#include "core/units.hpp"

namespace cicadahub::sharing
{

/// Whether a backend server has room for another request of this host, as far
/// as its rejections tell. Other hosts fill it too, and what they tell of their
/// requests is late.
class server_room
{
public:
    /// After its first rejection a server gets nothing for about this long: of
    /// a few requests of some 100 ms each, one ends in the meantime.
    static constexpr milliseconds first_backoff{40};
    static constexpr milliseconds max_backoff{320};
    /// A trial that is neither rejected nor accepted after this long, because
    /// its answer has not begun, no longer keeps others back.
    static constexpr milliseconds trial_limit{100};

    /// The server rejected a request for want of room. Requests that were sent
    /// before it rejected another one tell nothing new. `draw`, from 0 to 1,
    /// spreads the returns of hosts that were rejected together.
    void on_rejected(time_point sent_at, time_point now, double draw);
    /// A request is sent. After a rejection the next one is a trial, and others
    /// wait until it is accepted.
    void on_sent(time_point now);
    /// Says nothing of requests that were sent before the last rejection.
    void on_accepted(time_point sent_at);

    /// A request of this host has ended there, so that a place is free.
    void on_ended() { m_full_until = {}; }

    bool is_full(time_point now) const { return now < m_full_until; }
    /// Time after which the server may be tried again; 0 if it may now.
    milliseconds time_to_try(time_point now) const;

private:
    /// In a row.
    int m_rejections = 0;
    time_point m_rejected_at{};
    time_point m_full_until{};
};

} // namespace cicadahub::sharing
