#pragma once

#include "daemon/member_directory.hpp"
#include "daemon/shard_elector.hpp"
#include "fleet/frame_codec.hpp"

namespace cicadahub::daemon
{

/// Sends requests to the daemon that holds a shard; handles them locally if
/// that is this daemon.
class shard_client
{
public:
    using local_handler =
        std::function<net::awaitable<fleet::wire::Body>(fleet::wire::Body)>;

    shard_client(const member_directory& members, local_handler handler)
        : m_members(members), m_handler(std::move(handler))
    {
    }

    /// Returns the holder's reply; none if the holder is unknown or
    /// unreachable, or does not answer in time.
    net::awaitable<std::optional<fleet::wire::Body>>
    call(const shard_elector& shard, fleet::wire::Body body,
         milliseconds timeout) const;

private:
    const member_directory& m_members;
    local_handler m_handler;
};

} // namespace cicadahub::daemon
