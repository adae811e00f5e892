#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "decision/sharing/rate_parts.hpp"

#include <optional>
#include <vector>

namespace cicadahub::sharing
{

/// What a server said of the rate that it takes from all hosts together, the
/// rate that it takes while it is cold, and this host's tokens for the lower of
/// both. Each host owns an equal part of the rate and
/// lends it to the one that sends to the server, through which it relays.
class server_limit
{
public:
    /// A server that takes nothing is still asked this often, to learn when the
    /// limit ends.
    static constexpr double min_requests_per_second = 0.1;
    /// Tokens for this long can be saved, beside one.
    static constexpr double burst_seconds = 0.5;
    /// A request that is not sent this long after its time loses its booking.
    static constexpr milliseconds booking_grace{300};
    /// A server that nobody hears anything of is no longer taken for limited.
    static constexpr milliseconds notice_lifetime{60'000};

    /// An answer of the server, or another host's report of one that arrived at
    /// `heard_at`; empty if the answer named no limit. Ignored if it is older
    /// than what is known. Returns true if the limit changed.
    bool on_answer(std::optional<double> requests_per_second,
                   time_point heard_at, time_point now);

    /// Until `until` the server takes `requests_per_second` at most because it
    /// is cold; empty if it takes any number. `burst` is the time for which
    /// tokens can be saved meanwhile.
    void set_cold(std::optional<double> requests_per_second, time_point until,
                  double burst, time_point now);

    bool is_limited(time_point now) const;
    /// The server itself named a limit.
    bool is_named(time_point now) const;
    bool is_cold(time_point now) const;
    /// Requests a second from all hosts; empty if the server is not limited.
    std::optional<double> requests_per_second(time_point now) const;
    /// Those that the server itself named.
    std::optional<double> named_requests_per_second(time_point now) const;
    /// Time of the answer that told the limit, or told that it ended; empty if
    /// the server never named one.
    std::optional<time_point> heard_at() const { return m_heard_at; }

    /// `lender` lends its part of the limit, from 0 to 1, to this host; see
    /// `rate_parts::set`. A host that had no part begins without tokens, as
    /// those that had them may have used them.
    void on_part(const daemon_id& lender, double part, time_point from,
                 time_point until, time_point now);
    /// This host no longer sends to the server.
    void give_parts_back(time_point now);
    /// Part of the limit that this host may use; 0 if another host sends.
    double part(time_point now) const { return m_parts.sum(now); }
    /// Part that this host will have when all have lent it theirs. Times that
    /// are told to callers are estimated with it.
    void expect_part(double part) { m_expected_part = part; }

    /// Time until this host may send the request; 0 if it may now. Requests
    /// that were booked before come first.
    milliseconds time_to_send(const request_id& request, time_point now) const;
    /// Keeps a token for the request from the time on that `time_to_send`
    /// tells. Without effect if it is booked.
    void book(const request_id& request, time_point now);
    void on_sent(const request_id& request, time_point now);

    /// The host that sends, `sender`, could send this host's request after
    /// `wait`.
    void on_withheld(const daemon_id& sender, milliseconds wait,
                     time_point now);
    /// The same from a host that tells no wait, one of `hosts`.
    void on_withheld_without_wait(const daemon_id& sender, std::size_t hosts,
                                  time_point now);
    /// Least time after which the host that sends can send another request of
    /// this host, as far as is known; 0 if it may now.
    milliseconds time_to_ask(const daemon_id& sender, time_point now) const;

private:
    struct booking
    {
        request_id request;
        time_point due{};
    };

    double whole_rate(time_point now) const;
    double burst(time_point now) const;
    double tokens(time_point now) const;
    void settle(time_point now);
    std::size_t bookings_before(const request_id& request,
                                time_point now) const;

    std::optional<double> m_requests_per_second;
    std::optional<time_point> m_heard_at;
    std::optional<double> m_cold_rate;
    time_point m_cold_until{};
    double m_cold_burst = 0;
    rate_parts m_parts;
    double m_expected_part = 0;
    double m_tokens = 0;
    time_point m_settled_at{};
    /// In the order in which the requests came.
    std::vector<booking> m_bookings;
    daemon_id m_withheld_by;
    time_point m_withheld_until{};
};

} // namespace cicadahub::sharing
