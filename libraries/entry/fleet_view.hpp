#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "digest_types.h"
#include "http/types.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace cicadahub::entry
{

/// Another daemon and what it last told.
struct peer
{
    fleet::wire::Digest digest;
    http::endpoint address;
    time_point received_at{};
};

/// What the other daemons tell of themselves. Digests that arrive out of order
/// or belong to an earlier run of a daemon are passed over.
class fleet_view
{
public:
    /// A peer that was silent for this long is not counted: several digests,
    /// and less than a placement lease lasts.
    static constexpr milliseconds silence_limit{1'500};
    /// A host that nobody hears may be cut off and still serve its callers.
    /// Longer than cuts usually last; after it, its part goes to the others.
    static constexpr milliseconds partition_limit{20'000};
    /// A host that said that it leaves serves for as long as a stop may take.
    static constexpr milliseconds leaving_limit{3'000};

    /// False if the digest is older than one that is known, or an update of
    /// one that is not.
    bool on_digest(const fleet::wire::Digest& it, const http::endpoint& from,
                   time_point now);

    /// A host that may be one of the fleet, heard or not.
    void add_address(const http::endpoint& address, time_point now);

    /// Forgets peers that have been silent; true if there were any.
    bool drop_silent(time_point now);

    const std::map<std::string, peer>& peers() const { return m_peers; }
    /// The peer that holds the placement lease, as it tells itself.
    const peer* placement_holder() const;
    /// What the others run, as far as they have told this daemon.
    std::unordered_map<std::string, std::uint32_t> running_by_server() const;

    /// Hosts that may be serving, this one included: those heard, those that
    /// fell silent lately and may only be cut off, and those not heard yet.
    std::size_t host_count(time_point now) const;

    /// Demand at all other hosts. That of a host that fell silent counts as it
    /// was; one that was not heard yet counts as the mean of the others and
    /// `own`.
    double demand_of(const organisation_id& organisation, double own,
                     time_point now) const;

    /// True if no host is silent or not heard yet, but for those that leave.
    bool is_complete(time_point now) const;

    /// Tokens of an organisation that the other hosts told to have spent while
    /// they were heard; never decreases.
    std::int64_t spent_by_others(const organisation_id& organisation) const;

private:
    void add_spent(const fleet::wire::Digest* former,
                   const fleet::wire::Digest& it);
    static void merge(fleet::wire::Digest& known,
                      const fleet::wire::Digest& update);
    std::size_t unseen_host_count(time_point now) const;

    std::map<std::string, peer> m_peers;
    /// Peers that fell silent, as last heard.
    std::map<std::string, peer> m_silent;
    std::map<http::endpoint, time_point> m_known_addresses;
    std::map<std::string, std::int64_t> m_spent;
};

} // namespace cicadahub::entry
