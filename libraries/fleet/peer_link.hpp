#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "fleet/frame_codec.hpp"
#include "fleet/keyed_queue.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace cicadahub::fleet
{

namespace net = boost::asio;

/// A peer did not reply in time or cannot be reached.
class peer_unavailable : public error
{
public:
    using error::error;
};

/// Outbound connection to one daemon. It reconnects after each failure until it
/// is stopped. A connection whose heartbeat times out is closed, since packets
/// on it may be lost while a new connection would work.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(net::io_context& context, daemon_id peer,
              net::ip::tcp::endpoint address);

    void start();
    void stop();

    /// Sends a request and waits for its reply; throws `peer_unavailable`.
    net::awaitable<wire::Body> call(wire::Body body, milliseconds timeout);

    /// Queues a notice, which replaces a queued one of the same key. It stays
    /// queued while the peer is disconnected.
    void notify(const std::string& key, wire::Body body);

    const daemon_id& peer() const { return m_peer; }
    const net::ip::tcp::endpoint& address() const { return m_address; }
    bool is_connected() const { return m_is_connected; }
    std::size_t queued_count() const { return m_queue.size(); }

private:
    struct pending_call
    {
        explicit pending_call(net::io_context& context) : timer(context) {}

        net::steady_timer timer;
        std::optional<wire::Body> reply;
    };

    net::awaitable<void> run();
    net::awaitable<void> write_loop(std::uint64_t connection);
    net::awaitable<void> heartbeat_loop(std::uint64_t connection);
    bool is_current(std::uint64_t connection) const;
    net::awaitable<void> read_loop();
    void enqueue(const std::string& key, wire::Frame frame);
    void fail_pending();
    void drop_connection();

    net::io_context& m_context;
    daemon_id m_peer;
    net::ip::tcp::endpoint m_address;
    net::ip::tcp::socket m_socket;
    net::steady_timer m_queue_changed;
    keyed_queue<wire::Frame> m_queue;
    std::map<std::int64_t, std::shared_ptr<pending_call>> m_pending;
    std::int64_t m_next_exchange = 1;
    std::uint64_t m_connection = 0;
    bool m_is_connected = false;
    bool m_is_stopped = false;
};

} // namespace cicadahub::fleet
