#pragma once

#include "platform/store.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace cicadahub::daemon
{

namespace net = boost::asio;

/// Pacing of the watches on a collection.
struct follow_pace
{
    /// Long-poll timeout: how long the platform waits for a change.
    milliseconds wait{0};
    /// Pause between two watches, so that changes made close together are
    /// fetched in one call.
    milliseconds pause{0};
};

/// Follows one collection of the platform: lists it, then watches it, and lists
/// it again when the watch has expired. An object may be delivered more than
/// once; its version identifies duplicates.
class collection_follower
{
public:
    using object_handler = std::function<void(const platform::stored_object&)>;
    /// Called after each list or batch of changes. `is_full_list` means that
    /// the objects delivered since the last call are the complete collection;
    /// it is false for a list whose later pages cannot be had.
    using batch_handler = std::function<void(bool is_full_list)>;
    using pace_handler = std::function<follow_pace()>;

    collection_follower(net::io_context& context, platform::store& store,
                        platform::collection watched, object_handler on_object,
                        batch_handler on_batch, pace_handler pace);

    void start();

    /// Fetches changes immediately, in parallel with a watch in flight. Does
    /// nothing while another refresh runs or shortly after one began, which is
    /// longer for a platform that did not answer last.
    void refresh();

    /// Fetches changes whatever else runs; `on_end` is called when all that was
    /// changed before has been delivered, or the platform did not answer.
    void confirm(std::function<void()> on_end);

    /// Fetches the complete collection with the next call.
    void relist() { m_needs_list = true; }

    /// Version up to which all changes have been delivered; 0 before the first
    /// complete list.
    object_version version() const { return m_complete_version; }
    bool is_platform_reachable() const { return m_is_platform_reachable; }

private:
    enum class outcome
    {
        answered,
        /// Nobody but this process is known to be late: worth another call at
        /// once, which takes as long as its time limit if it ends so too.
        delayed,
        failed,
    };

    net::awaitable<void> run();
    net::awaitable<void> fetch_changes();
    /// Sends one watch, preceded by a list if one is needed.
    net::awaitable<outcome> poll(milliseconds wait);
    net::awaitable<void> list_all();
    /// Delivers the objects of a list.
    void on_list(const platform::listing& read, bool is_complete);
    /// Decides when an incomplete list is tried again.
    void note_incomplete(const platform::incomplete_list& it);
    net::awaitable<void> watch_once(milliseconds wait);
    void mark_reachable();
    void mark_unreachable(const char* reason, time_point began);

    net::io_context& m_context;
    platform::store& m_store;
    platform::collection m_collection;
    object_handler m_on_object;
    batch_handler m_on_batch;
    pace_handler m_pace;
    /// Version from which the next watch follows.
    object_version m_version;
    object_version m_complete_version;
    bool m_needs_list = true;
    /// The last list was complete.
    bool m_is_complete = false;
    time_point m_relist_at = time_point::max();
    milliseconds m_relist_pause{0};
    bool m_is_platform_reachable = false;
    /// Reason that was logged last for a failure, until the next success.
    std::string m_logged_reason;
    bool m_is_refreshing = false;
    time_point m_refreshed_at{};
};

} // namespace cicadahub::daemon
