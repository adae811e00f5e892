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

/// Decides whether this host reaches any backend server by new connections. A
/// host that doesn't is cut off: its callers are served through other hosts,
/// and what it sees of servers says nothing about them. Open connections don't
/// count, since they may go on while new ones fail.
class server_reach
{
public:
    /// While requests wait and no server sends anything for this long, the
    /// servers are probed.
    static constexpr milliseconds silence_limit{400};
    /// Time between two probes because of silence.
    static constexpr milliseconds silence_probe_period{1'000};
    /// Time between two probes while cut off.
    static constexpr milliseconds return_probe_period{500};

    /// A request began to wait for a server, or no longer does.
    void on_wait_began(time_point now);
    void on_wait_ended();

    /// Bytes arrived from a server.
    void on_contact(time_point now) { m_last_contact = now; }

    /// A connection failed, which may be due to the server or to this host. The
    /// probe that runs, or the next one while cut off, tells which.
    void on_failure() { m_has_doubt |= !m_is_probing && !m_is_cut_off; }

    /// True if a probe should begin now; never while one runs.
    bool is_probe_due(time_point now) const;

    void on_probe_began(time_point now);

    /// The probe reached a server, or none of its `targets`. One server that
    /// fails shows nothing about this host. Returns true if `is_cut_off` has
    /// changed.
    bool on_probe_ended(bool has_reached, std::size_t targets, time_point now);

    bool is_cut_off() const { return m_is_cut_off; }
    bool is_probing() const { return m_is_probing; }

    /// Time of the last probe that reached a server.
    time_point last_reached() const { return m_last_reached; }

private:
    bool is_silent(time_point now) const;

    std::size_t m_waiting = 0;
    time_point m_waits_since{};
    time_point m_last_contact{};
    time_point m_last_reached{};
    time_point m_last_probe{};
    bool m_has_doubt = false;
    bool m_is_probing = false;
    bool m_is_cut_off = false;
};

} // namespace cicadahub::reachability
