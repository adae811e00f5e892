#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "digest_types.h"
#include "http/types.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadahub::entry
{

/// Another daemon and its latest digest.
struct peer
{
    fleet::wire::Digest digest;
    http::endpoint address;
    time_point received_at{};
    /// Time between the last two digests.
    milliseconds gap{0};
    /// Arrival of the last digest that had `work`.
    time_point work_received_at{};
};

/// State of the other daemons, from their digests. Digests that arrive out of
/// order or come from an earlier incarnation of a daemon are ignored.
class fleet_view
{
public:
    /// A peer without a digest for this long counts as silent if all watchers
    /// in contact say so too: less than the duration of a placement lease.
    /// Without watchers it takes `silent_periods`, if they are longer.
    static constexpr milliseconds silence_limit{1'500};
    static constexpr int silent_periods = 3;
    /// Watchers and those who report to them send something this often.
    static constexpr milliseconds beacon_period{500};
    /// A watcher that was not heard for this long, two beacons and the delay of
    /// a busy host, can't be relied on.
    static constexpr milliseconds watcher_limit{1'200};
    /// Watchers name a silent host for this long: several beacons, some of
    /// which may be lost.
    static constexpr milliseconds silence_notice{4'000};
    /// The period of full digests grows with the number of peers, so that the
    /// traffic of the fleet grows linearly with its size and not quadratically.
    static constexpr milliseconds min_digest_period{250};
    static constexpr milliseconds digest_period_per_peer{10};
    /// A silent host may be partitioned and still serve its callers, so it
    /// keeps its share of the rates for this long, which is more than
    /// partitions usually last. Then the other hosts get its share.
    static constexpr milliseconds partition_limit{20'000};
    /// A silent host keeps its part of what servers take for this long, as
    /// those that are cut off together lend their parts to each other.
    static constexpr milliseconds part_retention{120'000};
    /// Counting all hosts takes the square of their number, and is needed for
    /// each limited server in each digest.
    static constexpr milliseconds own_part_lifetime{250};
    /// A host that announced its stop may serve for this long afterwards, the
    /// longest time that a stop takes.
    static constexpr milliseconds leaving_limit{3'000};

    /// False if the digest is ignored: it is not newer than the known one, or
    /// it is an update without a known digest of the same incarnation.
    bool on_digest(const fleet::wire::Digest& it, const http::endpoint& from,
                   time_point now);

    /// Adds a host that may belong to the fleet, whether or not it has sent a
    /// digest.
    void add_address(const http::endpoint& address, time_point now);

    /// Removes silent peers from `peers()`; true if there were any.
    bool drop_silent(time_point now);

    const std::map<std::string, peer>& peers() const { return m_peers; }
    milliseconds digest_period() const;
    /// Peers that watch the store and are in contact.
    std::vector<const peer*> watchers(time_point now) const;
    /// Peers that reported several times a second and lately no longer do, for
    /// hosts that hear them less often.
    std::vector<std::string> silent_reporters(time_point now) const;
    /// The peer that reports to hold the placement lease; if there are several,
    /// the one with the highest epoch.
    const peer* placement_holder() const;
    /// Running requests by server, as reported by the other daemons.
    std::unordered_map<std::string, std::uint32_t> running_by_server() const;
    /// Unread prompt tokens by server, from the same reports. Servers without
    /// any are omitted.
    std::unordered_map<std::string, std::int64_t> unread_by_server() const;
    /// Arrival of the last of these reports; default if there is none.
    time_point work_received_at() const;
    /// The same without the sums that the holder of the placement lease adds,
    /// which count the requests of all hosts once more and are older.
    std::unordered_map<std::string, std::uint32_t> running_elsewhere() const;

    /// Hosts that may be serving, this one included: those in contact, those
    /// silent for less than their limit, which may only be partitioned, and
    /// those that have not sent a digest yet, for at most `partition_limit`
    /// after their address became known.
    std::size_t host_count(time_point now) const;

    /// The members have been listed, so that all hosts are known.
    void on_members_listed()
    {
        m_are_members_known = true;
        m_own_part_until = {};
    }
    /// Hosts among which the limits of servers are parted: those that may be
    /// serving, and those silent for less than `part_retention`. 0 if this host
    /// does not know yet how many there are.
    std::size_t part_count(time_point now) const;
    /// Part of each limit that this host owns, from 0 to 1. Hosts that know of
    /// more hosts than this one are believed. A change counts within
    /// `own_part_lifetime`.
    double own_part(time_point now);

    /// Demand at all other hosts. A silent host counts with its last reported
    /// demand, a host that has not sent a digest yet with the mean of the known
    /// hosts, including this one, whose demand is `own`.
    double demand_of_others(const organisation_id& organisation, double own,
                            time_point now) const;

    /// True if all hosts are in contact: no host is silent, unless it announced
    /// its stop, and all hosts with a known address have sent a digest.
    bool is_complete(time_point now) const;

    /// Tokens spent by the organisation as reported by the other hosts while
    /// they were in contact; never decreases.
    std::int64_t spent_by_others(const organisation_id& organisation) const;

private:
    void add_spent(const fleet::wire::Digest* former,
                   const fleet::wire::Digest& it);
    static void merge(fleet::wire::Digest& known,
                      const fleet::wire::Digest& update);
    bool is_silent(const std::string& name, const peer& it,
                   const std::vector<const peer*>& watchers,
                   time_point now) const;
    std::size_t unseen_host_count(time_point now, milliseconds limit) const;

    std::map<std::string, peer> m_peers;
    /// Silent peers with their last digests.
    std::map<std::string, peer> m_silent;
    /// Hosts that were silent for longer than `partition_limit`.
    std::map<std::string, peer> m_long_silent;
    bool m_are_members_known = false;
    double m_own_part = 0;
    time_point m_own_part_until{};
    std::map<http::endpoint, time_point> m_known_addresses;
    std::map<std::string, std::int64_t> m_spent_by_others;
};

} // namespace cicadahub::entry
