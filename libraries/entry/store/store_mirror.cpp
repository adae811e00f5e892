#include "entry/store/store_mirror.hpp"

#include "core/structured_log.hpp"
#include "daemon/pause.hpp"
#include "decision/sharing/source_selection.hpp"
#include "decision/sharing/watcher_selection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadahub::entry
{

namespace
{

using daemon::pause;
using platform::collection;

/// Watch timeout of the designated watchers and of starting hosts. The store
/// may drop a watch silently while the connection stays open. The watch plus
/// the time limit of its response stay below the 2 s in which a change must be
/// known.
constexpr milliseconds short_watch_timeout{1'000};
/// Watch timeout of the other hosts, which need their watch only if the
/// designated watchers fail; the longest that the store allows.
constexpr milliseconds long_watch_timeout{30'000};
/// Pause between two watches of the servers. A leaving server must be known
/// within 2 s. Completed loads become known without this watch, since the
/// holder of the placement lease publishes them at once.
constexpr milliseconds server_watch_pause{500};
/// The same at the holder of the placement lease; bounds the delay until it
/// sees the end of a load. A load from memory takes some hundred milliseconds.
constexpr milliseconds holder_server_watch_pause{100};
/// The other hosts learn of changes from the watchers. What these do not tell,
/// such as the copies near a server, may be this old.
constexpr milliseconds server_poll_pause{10'000};
/// A host that hears no watcher asks the store by itself, about this often, as
/// a leave must be known within 2 s. That many calls fit the limits of the
/// store also if no host hears a watcher.
constexpr milliseconds unheard_poll_period{900};
constexpr double poll_spread = 0.25;
/// After the store was restored from an older copy, servers that it lacks are
/// kept for this long: those that are alive register again within some 2 s.
constexpr milliseconds restore_grace{4'000};
constexpr milliseconds peer_timeout{500};
/// Hosts that the store turns away hear within this time of peers that follow
/// the evacuations; hosts of earlier builds do not.
constexpr milliseconds time_to_hear_of_evacuations{3'000};
constexpr milliseconds peer_check_period{200};
/// A daemon in contact with the store that still misses a change after this
/// time fetches it from a peer: longer than a call to the store, and well below
/// the 2 s in which a change must be known.
constexpr milliseconds peer_fetch_delay{800};

} // namespace

store_mirror::store_mirror(entry_state& state, platform::store& store,
                           http::client_pool& peers, object_relay& relay,
                           handlers given)
    : m_state(state), m_peers(peers), m_relay(relay),
      m_handlers(std::move(given)),
      m_configurations(
          state.context, store, collection::configurations,
          [this](const platform::stored_object& it)
          { apply_object(collection::configurations, it); },
          [this](bool is_full_list)
          {
              end_batch(collection::configurations, is_full_list,
                        m_configurations.version());
          },
          [this] { return configuration_pace(); }),
      m_servers(
          state.context, store, collection::servers,
          [this](const platform::stored_object& it)
          { apply_object(collection::servers, it); },
          [this](bool is_full_list) {
              end_batch(collection::servers, is_full_list, m_servers.version());
          },
          [this] { return servers_pace(); }),
      m_evacuations(
          state.context, store, collection::evacuations,
          [this](const platform::stored_object& it)
          { apply_object(collection::evacuations, it); },
          [this](bool is_full_list) {
              end_batch(collection::evacuations, is_full_list,
                        m_evacuations.version());
          },
          [this] { return evacuations_pace(); }),
      m_followed{collection::configurations, collection::servers}
{
    if (state.settings.follows_evacuations)
    {
        m_followed.push_back(collection::evacuations);
    }
}

void store_mirror::start()
{
    m_configurations.start();
    m_servers.start();
    if (m_state.settings.follows_evacuations)
    {
        m_evacuations.start();
    }
    net::co_spawn(m_state.context, follow_peers(), net::detached);
}

bool store_mirror::reaches_store() const
{
    return m_configurations.is_platform_reachable() &&
           m_servers.is_platform_reachable();
}

bool store_mirror::is_designated_watcher() const
{
    if (m_handlers.is_placement_holder())
    {
        return true;
    }
    std::vector<daemon_id> others;
    for (const auto& [name, it] : m_state.fleet.peers())
    {
        if (it.digest.reaches_store)
        {
            others.emplace_back(name);
        }
    }
    return sharing::is_watcher(m_state.settings.name, others);
}

daemon::follow_pace store_mirror::configuration_pace() const
{
    const bool is_short_watch =
        !m_state.configuration || is_designated_watcher();
    return {is_short_watch ? short_watch_timeout : long_watch_timeout, {}};
}

daemon::follow_pace store_mirror::servers_pace() const
{
    if (m_handlers.is_placement_holder())
    {
        return {short_watch_timeout, holder_server_watch_pause};
    }
    if (!m_state.has_servers || is_designated_watcher())
    {
        return {short_watch_timeout, server_watch_pause};
    }
    return {{}, server_poll_pause};
}

daemon::follow_pace store_mirror::evacuations_pace() const
{
    const bool is_short_watch =
        !m_state.are_evacuations_known || is_designated_watcher();
    return {is_short_watch ? short_watch_timeout : long_watch_timeout, {}};
}

daemon::collection_follower& store_mirror::follower_of(collection where)
{
    if (where == collection::evacuations)
    {
        return m_evacuations;
    }
    return where == collection::servers ? m_servers : m_configurations;
}

object_version store_mirror::known_version(collection where)
{
    return std::max(follower_of(where).version(), m_relay.revision(where));
}

object_version store_mirror::reported_version(const peer& it, collection where)
{
    if (where == collection::evacuations)
    {
        return object_version(
            static_cast<std::uint64_t>(it.digest.evacuations_version));
    }
    const std::int64_t version = where == collection::servers
                                     ? it.digest.servers_changed_version
                                     : it.digest.configuration_version;
    return object_version(static_cast<std::uint64_t>(version));
}

void store_mirror::fill(fleet::wire::Digest& it) const
{
    it.reaches_store = reaches_store();
    it.watches_store = it.reaches_store && is_designated_watcher();
    if (it.watches_store)
    {
        it.silent_hosts =
            m_state.fleet.silent_reporters(monotonic_clock::now());
    }
    it.configuration_version =
        m_state.configuration
            ? static_cast<std::int64_t>(m_state.configuration->revision.value())
            : 0;
    if (m_state.evacuations.is_known())
    {
        // 1 if there has been none: the sender knows that.
        it.__set_evacuations_version(std::max<std::int64_t>(
            1, static_cast<std::int64_t>(
                   m_state.evacuations.changed_version().value())));
    }
    it.servers_changed_version =
        static_cast<std::int64_t>(m_state.servers.changed_version().value());
}

void store_mirror::note_announced(const peer& it)
{
    const object_version reported =
        reported_version(it, collection::configurations);
    const object_version known = known_version(collection::configurations);
    if (reported <= std::max(known, m_announced_configuration))
    {
        return;
    }
    if (m_announced_configuration <= known)
    {
        m_behind_since = monotonic_clock::now();
    }
    m_announced_configuration = reported;
    log_event(severity::info, event_number::configuration_announced,
              {{"peer", it.digest.sender},
               {"era", era_of(reported).value()},
               {"revision", revision_of(reported)},
               {"known", revision_of(known)},
               {"is_store_reached", m_configurations.is_platform_reachable()},
               {"peers", m_state.fleet.peers().size()}});
}

void store_mirror::on_digest(const peer& it)
{
    note_announced(it);
    for (const collection where : followed())
    {
        if (reported_version(it, where) > known_version(where))
        {
            follower_of(where).refresh();
        }
    }
}

void store_mirror::confirm(std::function<void()> on_end)
{
    m_configurations.confirm(std::move(on_end));
    m_servers.refresh();
}

void store_mirror::apply_object(collection where,
                                const platform::stored_object& it,
                                const std::string& source)
{
    const work_meter::scope metered(m_state.work, duty::objects);
    if (where == collection::evacuations)
    {
        m_relay.on_object(where, it);
        m_state.evacuations.apply(it.name, it.version, it.is_deleted);
        return;
    }
    if (where == collection::servers)
    {
        m_relay.on_object(where, it);
        if (!m_state.servers.apply(it))
        {
            m_state.metrics.count_unreadable_server();
        }
        return;
    }
    const auto before = m_state.configuration;
    configuration_origin origin{source};
    if (m_announced_configuration > object_version{} &&
        m_announced_configuration <= it.version)
    {
        origin.behind = std::chrono::duration_cast<milliseconds>(
            monotonic_clock::now() - m_behind_since);
    }
    m_handlers.on_configuration(it, origin);
    if (m_state.configuration && m_state.configuration->revision == it.version)
    {
        // Peers get only what this host serves by.
        m_relay.on_object(where, it);
    }
    if (before != m_state.configuration && is_designated_watcher())
    {
        m_handlers.announce();
    }
}

void store_mirror::note_era(object_version version)
{
    const store_era era = era_of(version);
    if (era <= m_era)
    {
        return;
    }
    const bool was_restored = m_era.value() > 0;
    m_era = era;
    if (was_restored)
    {
        m_removals_from = monotonic_clock::now() + restore_grace;
        net::co_spawn(m_state.context, relist_after_grace(), net::detached);
    }
}

net::awaitable<void> store_mirror::relist_after_grace()
{
    co_await pause(m_state.context, restore_grace);
    m_servers.relist();
    m_evacuations.relist();
}

void store_mirror::end_batch(collection where, bool is_full_list,
                             object_version version)
{
    const work_meter::scope metered(m_state.work, duty::objects);
    note_era(version);
    const bool is_complete =
        is_full_list && monotonic_clock::now() >= m_removals_from;
    m_relay.end_of_batch(where, is_complete, version);
    if (where == collection::evacuations)
    {
        end_evacuations(is_full_list, version);
        return;
    }
    if (where != collection::servers)
    {
        return;
    }
    m_state.servers.end_of_list(is_complete, version);
    const bool is_any_cold =
        m_state.update_cold_servers(monotonic_clock::now());
    m_handlers.on_servers_changed();
    const bool has_changed =
        m_announced_servers_version < m_state.servers.changed_version();
    if ((has_changed || is_any_cold) && is_designated_watcher())
    {
        m_announced_servers_version = m_state.servers.changed_version();
        m_handlers.announce();
    }
}

void store_mirror::end_evacuations(bool is_full_list, object_version version)
{
    // A copy that the store was restored from may lack an evacuation in force
    // for as long as its servers are kept.
    const bool is_complete =
        is_full_list && monotonic_clock::now() >= m_removals_from;
    m_state.evacuations.end_of_batch(
        is_complete || !m_state.evacuations.is_known(), version);
    const bool was_known = std::exchange(m_state.are_evacuations_known, true);
    const bool has_changed = m_state.update_evacuations();
    if (has_changed || !was_known)
    {
        m_handlers.on_evacuations_changed();
    }
    if (has_changed && is_designated_watcher())
    {
        m_handlers.announce();
    }
}

void store_mirror::give_up_evacuations()
{
    const auto& peers = m_state.fleet.peers();
    const bool can_anybody_tell =
        reaches_store() ||
        std::any_of(peers.begin(), peers.end(),
                    [](const auto& it)
                    { return it.second.digest.__isset.evacuations_version; });
    if (!m_state.are_evacuations_known && !can_anybody_tell && !peers.empty() &&
        monotonic_clock::now() >= m_started_at + time_to_hear_of_evacuations)
    {
        m_state.are_evacuations_known = true;
        m_handlers.on_evacuations_changed();
    }
}

object_version store_mirror::newest_reported(collection where) const
{
    object_version newest;
    for (const auto& [name, it] : m_state.fleet.peers())
    {
        newest = std::max(newest, reported_version(it, where));
    }
    return newest;
}

std::optional<http::endpoint> store_mirror::choose_source(collection where)
{
    std::vector<sharing::object_source> sources;
    std::vector<http::endpoint> addresses;
    for (const auto& [name, it] : m_state.fleet.peers())
    {
        sources.push_back(
            {reported_version(it, where),
             it.digest.data_centre == m_state.settings.data_centre.value()});
        addresses.push_back(it.address);
    }
    const auto chosen =
        sharing::select_source(sources, known_version(where), m_state.random());
    return chosen ? std::optional(addresses[*chosen]) : std::nullopt;
}

net::awaitable<void> store_mirror::fetch_from(http::endpoint peer,
                                              collection where)
{
    try
    {
        http::request message =
            object_relay::make_request(where, m_relay.revision(where));
        const http::response answer = co_await http::fetch(
            m_peers, peer, std::move(message), peer_timeout);
        const relayed_listing got = object_relay::read_answer(answer);
        const platform::listing& changes = got.changes;
        if (changes.version <= m_relay.revision(where))
        {
            co_return;
        }
        for (const platform::stored_object& it : changes.objects)
        {
            apply_object(where, it, http::to_string(peer));
        }
        const bool is_full_list = got.since.value() == 0;
        end_batch(where, is_full_list, changes.version);
        log_event(severity::info, event_number::learnt_from_peer,
                  {{"collection", platform::name_of(where)},
                   {"peer", http::to_string(peer)},
                   {"era", era_of(changes.version).value()},
                   {"revision", revision_of(changes.version)},
                   {"is_full_list", is_full_list},
                   {"bytes", answer.body().size()}});
    }
    catch (const std::exception& reason)
    {
        log_event(
            severity::warning, event_number::peer_lost,
            {{"address", http::to_string(peer)}, {"reason", reason.what()}});
    }
}

void store_mirror::poll_without_watchers(time_point now)
{
    const bool is_watcher = is_designated_watcher();
    if (is_watcher && !m_was_watcher)
    {
        m_became_watcher_at = now;
        m_next_poll_at = now;
    }
    m_was_watcher = is_watcher;
    // A new watcher's own pause may not have ended yet.
    const bool is_poll_needed =
        is_watcher ? now < m_became_watcher_at + server_poll_pause
                   : m_state.fleet.watchers(now).empty();
    if (!is_poll_needed || now < m_next_poll_at)
    {
        return;
    }
    const double spread =
        1 - poll_spread +
        2 * poll_spread * std::uniform_real_distribution<>()(m_state.random);
    m_next_poll_at =
        now + std::chrono::duration_cast<monotonic_clock::duration>(
                  unheard_poll_period * spread);
    for (const collection where : followed())
    {
        // A store that does not answer is asked again by the follower itself.
        if (follower_of(where).is_platform_reachable())
        {
            follower_of(where).refresh();
        }
    }
}

net::awaitable<void> store_mirror::follow_peers()
{
    std::map<collection, sharing::lag_detector> lags;
    for (const collection where : followed())
    {
        lags.emplace(where, sharing::lag_detector(peer_fetch_delay));
    }
    while (!m_state.is_draining)
    {
        co_await pause(m_state.context, peer_check_period);
        poll_without_watchers(monotonic_clock::now());
        give_up_evacuations();
        for (auto& [where, lag] : lags)
        {
            const object_version reported = newest_reported(where);
            const bool is_behind =
                lag.is_behind(known_version(where), reported,
                              monotonic_clock::now()) ||
                (!follower_of(where).is_platform_reachable() &&
                 reported > known_version(where));
            const auto source = is_behind ? choose_source(where) : std::nullopt;
            if (source)
            {
                co_await fetch_from(*source, where);
            }
        }
    }
}

} // namespace cicadahub::entry
