#pragma once

#include "platform/store.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace cicadahub::daemon
{

namespace net = boost::asio;

/// Keeps up with one collection in the platform: a list, then watches, and a
/// list again whenever the watch cannot go on.
class collection_follower
{
public:
    using object_handler = std::function<void(const platform::stored_object&)>;
    /// Called after each list or batch of changes. `is_whole` tells that the
    /// objects handed over since the last call are the whole collection.
    using batch_handler = std::function<void(bool is_whole)>;

    collection_follower(net::io_context& context, platform::store& store,
                        platform::collection where, object_handler on_object,
                        batch_handler on_batch);

    /// Least time between two watches; changes that come together are then
    /// fetched together.
    using pace_handler = std::function<milliseconds()>;
    void set_pace(pace_handler pace) { m_pace = std::move(pace); }

    void start();
    void stop() { m_is_stopped = true; }

    /// Time of the last answer of the platform; none before the first.
    std::optional<time_point> last_contact() const { return m_last_contact; }
    bool is_in_contact() const { return m_is_in_contact; }

private:
    net::awaitable<void> run();
    net::awaitable<void> list_all();
    net::awaitable<void> watch_once();
    void note_contact();
    void note_failure(const char* reason);

    net::io_context& m_context;
    platform::store& m_store;
    platform::collection m_where;
    object_handler m_on_object;
    batch_handler m_on_batch;
    pace_handler m_pace;
    object_version m_version;
    bool m_needs_list = true;
    bool m_is_in_contact = false;
    bool m_is_stopped = false;
    std::optional<time_point> m_last_contact;
};

} // namespace cicadahub::daemon
