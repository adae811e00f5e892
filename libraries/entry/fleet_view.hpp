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
    time_point heard_at{};
};

/// What the other daemons tell of themselves. Digests that arrive out of order
/// or belong to an earlier run of a daemon are passed over.
class fleet_view
{
public:
    /// A peer that was silent for this long is not counted: four digests.
    static constexpr milliseconds silence_limit{1'000};

    /// False if the digest is older than one that is known.
    bool on_digest(fleet::wire::Digest it, const http::endpoint& from,
                   time_point now);

    /// Forgets peers that have been silent; true if there were any.
    bool drop_silent(time_point now);

    const std::map<std::string, peer>& peers() const { return m_peers; }
    /// The peer that holds the placement lease, as it tells itself.
    const peer* placement_holder() const;
    std::unordered_map<std::string, std::uint32_t> running_by_server() const;
    double demand_of(const organisation_id& organisation) const;

private:
    std::map<std::string, peer> m_peers;
};

} // namespace cicadahub::entry
