#pragma once

#include "core/units.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace cicadahub::http
{

namespace net = boost::asio;

/// When the kernel gives a silent connection up. Linux looks at a connection
/// without unacknowledged data after `idle`, then once each `interval`, and
/// sends a probe; it closes the connection at the first look at which a probe
/// is unanswered and nothing has arrived for `unacknowledged`, whatever the
/// number of probes. Sent data is given up after `unacknowledged`.
struct dead_peer_timing
{
    seconds idle{1};
    seconds interval{1};
    milliseconds unacknowledged{3'500};
};

/// Sound servers may be silent for this long.
inline constexpr milliseconds longest_sound_silence{1'500};

/// Timing of all connections that a client pool opens: to backend servers, for
/// requests, orders and reports, to the platform's store and to other daemons.
inline constexpr dead_peer_timing default_dead_peer_timing{};

/// Makes the kernel close the connection if its peer no longer acknowledges
/// data. A server that is slow still acknowledges. Settings that the system
/// refuses are logged once.
void set_dead_peer_timing(net::ip::tcp::socket& socket,
                          const dead_peer_timing& timing);

} // namespace cicadahub::http
