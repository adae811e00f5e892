#include "http/dead_peer_detection.hpp"

#include <glog/logging.h>

#include <netinet/tcp.h>

namespace cicadahub::http
{

namespace
{

/// With TCP_USER_TIMEOUT the number of probes decides nothing; this one keeps
/// it from deciding where that option is missing.
constexpr int probes = 3;

template<class Option>
void set(net::ip::tcp::socket& socket, const Option& option,
         boost::system::error_code& first_failure)
{
    boost::system::error_code ec;
    socket.set_option(option, ec);
    if (ec && !first_failure)
    {
        first_failure = ec;
    }
}

} // namespace

void set_dead_peer_timing(net::ip::tcp::socket& socket,
                          const dead_peer_timing& timing)
{
    using net::detail::socket_option::integer;
    boost::system::error_code ec;
    set(socket, net::socket_base::keep_alive(true), ec);
    set(socket,
        integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
            static_cast<int>(timing.unacknowledged.count())),
        ec);
    set(socket,
        integer<IPPROTO_TCP, TCP_KEEPIDLE>(
            static_cast<int>(timing.idle.count())),
        ec);
    set(socket,
        integer<IPPROTO_TCP, TCP_KEEPINTVL>(
            static_cast<int>(timing.interval.count())),
        ec);
    set(socket, integer<IPPROTO_TCP, TCP_KEEPCNT>(probes), ec);
    LOG_IF_EVERY_N(WARNING, ec, 1'000)
        << "dead peers are not detected: " << ec.message();
}

} // namespace cicadahub::http
