#pragma once

#include "daemon/collection_follower.hpp"
#include "decision/sharing/lag_detector.hpp"
#include "entry/entry_state.hpp"
#include "entry/object_relay.hpp"

#include <functional>
#include <map>

namespace cicadahub::entry
{

/// Keeps the configuration and the servers as the platform's store has them.
/// A few hosts watch the store closely; the others are told by them that there
/// is something new, ask the store for it, and take it from a peer if the
/// store turns them away.
class store_mirror
{
public:
    struct handlers
    {
        std::function<void(const platform::stored_object&)> on_configuration;
        /// What was applied to the table of servers is complete.
        std::function<void()> on_servers_changed;
        /// This host is among the first to know of a change.
        std::function<void()> announce;
        std::function<bool()> is_placement_holder;
    };

    store_mirror(entry_state& state, platform::store& store,
                 http::client_pool& peers, object_relay& relay,
                 handlers handlers);

    void start();
    void on_digest(const peer& it);
    /// Adds to a digest what this host knows of.
    void fill(fleet::wire::Digest& it) const;

private:
    daemon::collection_follower& follower_of(platform::collection where);
    daemon::follow_pace configuration_pace() const;
    daemon::follow_pace servers_pace() const;
    bool is_designated_watcher() const;
    bool reaches_store() const;
    void apply_object(platform::collection where,
                      const platform::stored_object& it);
    void end_batch(platform::collection where, bool is_full_list,
                   object_version version);
    /// All changes up to this version are known here.
    object_version known_version(platform::collection where);
    /// The newest change that a peer told of.
    static object_version reported_version(const peer& it,
                                           platform::collection where);
    const peer* most_recent_peer(platform::collection where) const;
    net::awaitable<void> follow_peers();
    net::awaitable<void> fetch_from(http::endpoint peer,
                                    platform::collection where);

    entry_state& m_state;
    http::client_pool& m_peers;
    object_relay& m_relay;
    handlers m_handlers;
    daemon::collection_follower m_configurations;
    daemon::collection_follower m_servers;
    object_version m_announced_servers_version;
};

} // namespace cicadahub::entry
