#pragma once

#include "entry/entry_state.hpp"
#include "fleet/datagram_queue.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <set>

namespace cicadahub::entry
{

/// Exchanges digests of the daemons' state by UDP datagram. Full digests are
/// sent periodically, changes at once as updates. Data that only the holder of
/// the placement lease needs is sent to the holder alone.
class digest_exchange
{
public:
    using fill_handler = std::function<void(fleet::wire::Digest&, time_point)>;
    using digest_handler = std::function<void(const peer&)>;

    /// Binds the fleet's address; throws `boost::system::system_error`.
    digest_exchange(entry_state& state, fill_handler fill,
                    digest_handler on_digest, std::function<bool()> is_holder);

    void start();
    /// Requests an update, to be sent within milliseconds.
    void send_update_soon();
    /// The same for changes that all daemons need, not only the holder of the
    /// placement lease.
    void send_update_to_all_soon();
    /// The same for changes that can wait for the next beacon, since they come
    /// in large numbers.
    void send_next_update_to_all();

    /// This host stood still until `now`: what its peers sent meanwhile is
    /// still to be read, so that their silence means nothing for a while.
    void on_stall(time_point now);
    void add_address(const http::endpoint& address);
    /// Sends lists of streams to one daemon. They are no state of this one:
    /// they neither replace a digest nor are replaced by one.
    void send_streams(const fleet::wire::Digest& lists,
                      const http::endpoint& to);
    /// Sends a full digest to all daemons immediately.
    void send_digest();
    /// The same to one daemon, which has just started or has asked.
    void send_digest_to(const http::endpoint& to);

private:
    net::awaitable<void> send_loop();
    net::awaitable<void> receive_loop();
    void drop_silent_peers(time_point now);
    void on_datagram(std::string_view datagram,
                     const net::ip::udp::endpoint& from);
    fleet::wire::Digest make_digest(time_point now, bool is_update);
    void add_limits(fleet::wire::Digest& to, time_point now) const;
    /// Lends this host's part of the server's limit, and tells both.
    void add_limit(fleet::wire::Digest& to, server_record& server,
                   time_point now) const;
    /// Hosts to which the digest lends parts of limits.
    std::set<net::ip::udp::endpoint>
    borrower_addresses(const fleet::wire::Digest& loans) const;
    void add_pending_demand(fleet::wire::Digest& to, time_point now) const;
    void add_usage(fleet::wire::Digest& to, time_point now);
    void add_work(fleet::wire::Digest& to, bool has_models,
                  time_point now) const;
    /// Adds the running requests of all daemons; only the holder of the
    /// placement lease knows them.
    void add_fleet_work(fleet::wire::Digest& to, time_point now) const;
    void add_demand(fleet::wire::Digest& to, time_point now);
    void add_peers(fleet::wire::Digest& to);
    /// `is_beacon` is set at times, also if nothing has changed, so that others
    /// know that this host lives.
    void send_update(bool is_beacon);
    void send(fleet::datagram_kind kind, const fleet::wire::Digest& digest,
              const std::set<net::ip::udp::endpoint>& to);
    /// Sends what the share of the link allows, now and later.
    void send_queued();
    void log_dropped();
    /// Address of the holder of the placement lease; empty if the holder is
    /// unknown or is this daemon.
    std::set<net::ip::udp::endpoint> holder_address() const;
    std::set<net::ip::udp::endpoint> watcher_addresses(time_point now) const;

    entry_state& m_state;
    fill_handler m_fill;
    digest_handler m_on_digest;
    /// True while this daemon holds the placement lease.
    std::function<bool()> m_is_holder;
    net::ip::udp::socket m_socket;
    net::steady_timer m_timer;
    fleet::datagram_queue m_queue;
    net::steady_timer m_queue_timer;
    bool m_is_queue_timer_set = false;
    std::set<net::ip::udp::endpoint> m_addresses;
    std::int64_t m_number = 0;
    /// Name of the last peer whose address a digest listed.
    std::string m_last_listed_peer;
    bool m_is_update_requested = false;
    bool m_is_update_for_all = false;
    /// Updates contain the crashes and clearings since then.
    time_point m_told_all_at{};
    time_point m_silence_counts_from{};
    time_point m_next_failure_log{};
};

} // namespace cicadahub::entry
