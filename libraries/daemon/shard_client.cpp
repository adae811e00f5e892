#include "daemon/shard_client.hpp"

namespace cicadahub::daemon
{

net::awaitable<std::optional<fleet::wire::Body>>
shard_client::call(const shard_elector& shard, fleet::wire::Body body,
                   milliseconds timeout) const
{
    const daemon_id holder = shard.observed().holder;
    if (holder == m_members.self())
    {
        co_return co_await m_handler(std::move(body));
    }
    const auto link = m_members.link(holder);
    if (!link || !link->is_connected())
    {
        co_return std::nullopt;
    }
    try
    {
        co_return co_await link->call(std::move(body), timeout);
    }
    catch (const fleet::peer_unavailable&)
    {
        co_return std::nullopt;
    }
}

} // namespace cicadahub::daemon
