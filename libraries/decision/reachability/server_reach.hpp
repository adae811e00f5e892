#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cicadahub::reachability
{

/// A server that a probe may ask.
struct probe_target
{
    server_id server;
    service_id service;
};

/// Indexes of the targets to probe, in random order, at most `count`. Each
/// service comes once before any comes twice, since all servers of one service
/// may be down.
std::vector<std::size_t> choose_targets(std::span<const probe_target> from,
                                        std::size_t count,
                                        std::uint64_t random);

/// What a probe of several servers has shown.
enum class probe_result
{
    reached,
    /// No server was reached, and at least one connection was refused: all
    /// servers may have ended, or something on the way refuses connections.
    refused,
    /// No server was reached, and nothing answered.
    silent,
};

/// Decides whether this host reaches any backend server by new connections. A
/// host that doesn't is cut off: its callers are served through other hosts,
/// and what it sees of servers says nothing about them. Open connections don't
/// count, since they may go on while new ones fail.
///
/// Servers that refuse all connections show nothing until other hosts tell
/// whether they reach any.
class server_reach
{
public:
    /// While requests wait and no server sends anything for this long, the
    /// servers are probed.
    static constexpr milliseconds silence_limit{400};
    /// Time between two probes because of silence.
    static constexpr milliseconds silence_probe_period{1'000};
    /// Time between two probes while cut off, or while servers refuse all
    /// connections.
    static constexpr milliseconds return_probe_period{500};
    /// Once servers refuse all connections, other hosts have this long to probe
    /// them and to answer.
    static constexpr milliseconds inquiry_time{800};
    /// What another host received sooner after the refusals may have been sent
    /// by a server before it ended.
    static constexpr milliseconds contact_margin{100};

    /// A request began to wait for a server, or no longer does.
    void on_wait_began(time_point now);
    void on_wait_ended();

    /// Bytes arrived from a server.
    void on_contact(time_point now) { m_last_contact = now; }

    /// A connection failed, which may be due to the server or to this host. The
    /// probe that runs, or the next one while cut off, tells which.
    void on_failure()
    {
        m_has_doubt |= !m_is_probing && !m_is_cut_off && !m_refused_since;
    }

    /// True if a probe should begin now; never while one runs.
    bool is_probe_due(time_point now) const;

    void on_probe_began(time_point now);

    /// Ends a probe of this many servers. One that fails shows nothing about
    /// this host. Returns true if `is_cut_off` or `asks_others` has changed.
    bool on_probe_ended(probe_result result, std::size_t targets,
                        time_point now);

    /// Bytes from a server reached another host at that time. If it lies
    /// between two probes that are refused, something on the way refuses them.
    void on_contact_elsewhere(time_point at);

    bool is_cut_off() const { return m_is_cut_off; }

    /// Servers refuse all connections, and other hosts are to tell whether they
    /// reach any.
    bool asks_others() const { return m_refused_since && !m_is_cut_off; }

    /// The same until they have had the time to answer.
    bool awaits_answers(time_point now) const
    {
        return asks_others() && now < *m_refused_since + inquiry_time;
    }
    bool is_probing() const { return m_is_probing; }

    time_point last_contact() const { return m_last_contact; }

    /// Time of the last probe that reached a server.
    time_point last_reached() const { return m_last_reached; }

private:
    bool is_silent(time_point now) const;
    bool has_contact_elsewhere() const;

    std::size_t m_waiting = 0;
    time_point m_waits_since{};
    time_point m_last_contact{};
    time_point m_last_reached{};
    time_point m_last_probe{};
    /// First of the probes in a row that were refused.
    std::optional<time_point> m_refused_since;
    time_point m_last_refused{};
    time_point m_last_contact_elsewhere{};
    /// Contact of other hosts as it was known when the probe began.
    time_point m_contact_at_probe{};
    bool m_has_doubt = false;
    bool m_is_probing = false;
    bool m_is_cut_off = false;
};

} // namespace cicadahub::reachability
