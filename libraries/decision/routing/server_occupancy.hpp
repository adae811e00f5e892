#pragma once

#include "core/units.hpp"

#include <optional>

namespace cicadahub::routing
{

/// What a server states of its load with a response.
struct load_statement
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

struct occupancy_estimate
{
    double running = 0;
    /// Standard deviation of the actual number.
    double deviation = 0;
};

/// Estimates how many requests run or wait on a server. This host's own ones
/// are known; those of other hosts are estimated from the server's last
/// statement and from what the hosts report to one another. Each counts the
/// less the older it is, measured by the time that a request takes there: the
/// requests of that moment have ended since, and what remains is the usual
/// number.
class server_occupancy
{
public:
    /// A server that has stated nothing for this long counts as one without a
    /// statement.
    static constexpr milliseconds statement_retention{30'000};
    /// Over this time the usual number of requests is averaged.
    static constexpr milliseconds mean_time{5'000};

    /// `own` is the number of this host's requests that the statement counts.
    void on_statement(const load_statement& it, std::uint32_t own,
                      time_point now);
    /// The other hosts' requests on the server, as they report them;
    /// `counted_at` is the mean of the moments at which they counted them.
    void on_report(std::uint32_t running, time_point counted_at,
                   time_point now);
    /// The server rejected a request for want of room. Such a request costs the
    /// server little, so that the pause is short and does not grow: about the
    /// time in which a few of its slots become free. `draw`, from 0 to 1,
    /// spreads the returns of hosts that were rejected together.
    void on_rejected(time_point sent_at, milliseconds request_time, double draw,
                     time_point now);
    /// A request of this host has ended there, so that a place is free.
    void on_ended() { m_full_until = {}; }

    bool has_statement(time_point now) const;
    /// Slots as last stated; 0 without a statement.
    std::uint32_t slots() const;
    /// Requests of other hosts, as far as is known. A server whose statement is
    /// recent and shows an empty queue is not counted as busier because of the
    /// hosts' reports. `request_time` is how long a request takes there.
    occupancy_estimate running_elsewhere(milliseconds request_time,
                                         time_point now) const;
    /// Time after which the server may be tried again after a rejection; 0 if
    /// it may now.
    milliseconds time_to_try(time_point now) const;

private:
    struct observation
    {
        double elsewhere = 0;
        time_point at{};
    };

    /// Corrects the usual number by `observed`.
    void update_mean(double observed, time_point now);

    std::optional<load_statement> m_statement;
    observation m_stated;
    std::optional<observation> m_report;
    double m_mean = 0;
    std::optional<time_point> m_mean_at;
    /// In a row.
    std::uint32_t m_rejections = 0;
    time_point m_rejected_at{};
    time_point m_full_until{};
};

} // namespace cicadahub::routing
