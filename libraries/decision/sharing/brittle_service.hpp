#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace cicadahub::sharing
{

/// Place of this host among those that use one server.
struct host_position
{
    std::size_t hosts = 1;
    /// From 0; differs for each host, and for each server.
    std::size_t rank = 0;
};

/// Keeps this host's part of the rejections that brittle servers bear. While
/// the servers of a service are brittle, one that rejects more than a limit of
/// requests in a second, from all hosts together, fails. A request that was
/// sent and neither accepted nor rejected yet counts like a rejection. If the
/// limit allows each host one or more, all have the same number; otherwise only
/// as many hosts as the limit may send to the server, one request at a time.
class brittle_service
{
public:
    /// Identifies a request that was sent.
    using send_number = std::uint64_t;

    /// A rejection takes no longer than this to arrive.
    static constexpr milliseconds decision_time{300};
    /// The servers count rejections in a second; the rest is for the way.
    static constexpr milliseconds rejection_window{1'200};
    /// Servers that say nothing for this long are no longer taken for brittle.
    static constexpr milliseconds notice_lifetime{30'000};

    /// An answer of a server, with the limit if it says that it is brittle.
    void on_answer(const server_id& server, std::optional<std::uint32_t> limit,
                   time_point now);

    send_number on_sent(const server_id& server, time_point now);
    /// The request runs, or has ended without a rejection.
    void on_accepted(const server_id& server, send_number sent);
    void on_rejected(const server_id& server, send_number sent, time_point now);

    /// The lowest limit of the service's servers, since one that comes back has
    /// not said anything yet; empty if none is brittle.
    std::optional<std::uint32_t> limit(time_point now) const;

    /// Whether this host is among those that may send to a server.
    bool is_entitled(const host_position& host, time_point now) const;

    /// Whether this host may send the server one more request now.
    bool may_send(const server_id& server, const host_position& host,
                  time_point now) const;

private:
    struct notice
    {
        std::uint32_t limit = 0;
        time_point seen_at{};
    };

    struct server_risk
    {
        std::map<send_number, time_point> undecided;
        std::deque<time_point> rejections;
    };

    std::size_t allowance(const host_position& host, time_point now) const;
    static void discard_expired(server_risk& it, time_point now);

    std::map<server_id, notice> m_notices;
    std::map<server_id, server_risk> m_risks;
    send_number m_last_send = 0;
};

} // namespace cicadahub::sharing
