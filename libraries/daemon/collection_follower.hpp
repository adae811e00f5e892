#pragma once

#include "platform/store.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace cicadahub::daemon
{

namespace net = boost::asio;

/// How often a follower asks.
struct follow_pace
{
    /// Time that the platform is asked to wait for a change.
    milliseconds wait{0};
    /// Time between two watches; changes that come together are then fetched
    /// together.
    milliseconds pause{0};
};

/// Keeps up with one collection in the platform: a list, then watches, and a
/// list again whenever the watch cannot go on. An object may be handed over
/// more than once; its version tells.
class collection_follower
{
public:
    using object_handler = std::function<void(const platform::stored_object&)>;
    /// Called after each list or batch of changes. `is_full_list` tells that
    /// the objects handed over since the last call are the whole collection.
    using batch_handler = std::function<void(bool is_full_list)>;
    using pace_handler = std::function<follow_pace()>;

    collection_follower(net::io_context& context, platform::store& store,
                        platform::collection watched, object_handler on_object,
                        batch_handler on_batch, pace_handler pace);

    void start();

    /// Asks at once for what has changed, beside a watch that still waits.
    /// Does nothing if it was called a moment ago.
    void refresh();

    /// All changes up to this version were handed over.
    object_version version() const { return m_version; }
    bool is_platform_reachable() const { return m_is_platform_reachable; }

private:
    net::awaitable<void> run();
    net::awaitable<void> refresh_once();
    /// Asks once; false if the platform did not answer.
    net::awaitable<bool> poll(milliseconds wait);
    net::awaitable<void> list_all();
    net::awaitable<void> watch_once(milliseconds wait);
    void mark_reachable();
    void mark_unreachable(const char* reason);

    net::io_context& m_context;
    platform::store& m_store;
    platform::collection m_collection;
    object_handler m_on_object;
    batch_handler m_on_batch;
    pace_handler m_pace;
    object_version m_version;
    bool m_needs_list = true;
    bool m_is_platform_reachable = false;
    bool m_is_refreshing = false;
    time_point m_refreshed_at{};
};

} // namespace cicadahub::daemon
