#pragma once

#include "daemon/collection_follower.hpp"
#include "decision/sharing/lag_detector.hpp"
#include "entry/entry_state.hpp"
#include "entry/store/object_relay.hpp"

#include <functional>
#include <map>
#include <string>

namespace cicadahub::entry
{

/// Where a host got a configuration.
struct configuration_origin
{
    /// "store", or the address of a peer.
    std::string source;
    /// Time since a peer was first heard to have it, or a newer one; 0 if none
    /// was.
    milliseconds behind{0};
};

/// Keeps a copy of the configuration, the servers and, if the settings ask for
/// it, the evacuations in the platform's store.
/// A few designated watchers follow the store closely and announce new versions
/// to the other hosts, which fetch them from the store or, if it does not
/// answer, from a peer.
class store_mirror
{
public:
    struct handlers
    {
        std::function<void(const platform::stored_object&,
                           const configuration_origin&)>
            on_configuration;
        /// Called after a batch of changes was applied to the server table.
        std::function<void()> on_servers_changed;
        /// Called after the evacuations became known, or changed.
        std::function<void()> on_evacuations_changed;
        /// Called on a designated watcher when the other hosts need to learn of
        /// a change.
        std::function<void()> announce;
        std::function<bool()> is_placement_holder;
    };

    store_mirror(entry_state& state, platform::store& store,
                 http::client_pool& peers, object_relay& relay,
                 handlers handlers);

    void start();
    void on_digest(const peer& it);
    /// Asks the store for what was changed until now; `on_end` is called when
    /// the configuration is current, or the store did not answer.
    void confirm(std::function<void()> on_end);
    /// Adds the versions known to this host to a digest.
    void fill(fleet::wire::Digest& it) const;

private:
    daemon::collection_follower& follower_of(platform::collection where);
    daemon::follow_pace configuration_pace() const;
    daemon::follow_pace servers_pace() const;
    daemon::follow_pace evacuations_pace() const;
    const std::vector<platform::collection>& followed() const
    {
        return m_followed;
    }
    /// Applies a batch of changes of the evacuations.
    void end_evacuations(bool is_full_list, object_version version);
    /// Stops waiting for evacuations that nobody can tell of.
    void give_up_evacuations();
    bool is_designated_watcher() const;
    bool reaches_store() const;
    void apply_object(platform::collection where,
                      const platform::stored_object& it,
                      const std::string& source = "store");
    /// Notes that a peer has a newer configuration than this host.
    void note_announced(const peer& it);
    void end_batch(platform::collection where, bool is_full_list,
                   object_version version);
    /// Begins the grace period for removals if the version is of a later era.
    void note_era(object_version version);
    net::awaitable<void> relist_after_grace();
    /// Version up to which all changes are known to this daemon.
    object_version known_version(platform::collection where);
    /// Version of the newest change that a peer knows, from its digest.
    static object_version reported_version(const peer& it,
                                           platform::collection where);
    object_version newest_reported(platform::collection where) const;
    /// A host that knows more than this one; empty if there is none.
    std::optional<http::endpoint> choose_source(platform::collection where);
    net::awaitable<void> follow_peers();
    /// Asks the store if no watcher is heard, or if this host has just become
    /// one.
    void poll_without_watchers(time_point now);
    net::awaitable<void> fetch_from(http::endpoint peer,
                                    platform::collection where);

    entry_state& m_state;
    http::client_pool& m_peers;
    object_relay& m_relay;
    handlers m_handlers;
    daemon::collection_follower m_configurations;
    daemon::collection_follower m_servers;
    daemon::collection_follower m_evacuations;
    std::vector<platform::collection> m_followed;
    time_point m_started_at = monotonic_clock::now();
    object_version m_announced_servers_version;
    /// Newest configuration that a peer was heard to have while this host did
    /// not, and since when this host has been behind.
    object_version m_announced_configuration;
    time_point m_behind_since{};
    /// Era of the store that this host's knowledge is of.
    store_era m_era;
    /// Until then a full list removes nothing.
    time_point m_removals_from{};
    bool m_was_watcher = false;
    time_point m_became_watcher_at{};
    time_point m_next_poll_at{};
};

} // namespace cicadahub::entry
