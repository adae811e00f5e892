#pragma once

#include "entry/requests/stream_continuity.hpp"
#include "platform/store.hpp"

#include <functional>

namespace cicadahub::entry
{

/// Keeps the services to which paths lead and their software versions in the
/// platform's store, so that a host that starts knows of services that a path
/// has left, and of versions whose servers have, even if all hosts start
/// at the same moment. The holder of the placement lease writes it, when they
/// change.
class version_record
{
public:
    struct handlers
    {
        std::function<bool()> is_holder;
        /// True if this host holds the first placement lease that there was, so
        /// that no stream began before.
        std::function<bool()> is_first_holder;
        std::function<bool()> is_stopping;
    };

    version_record(net::io_context& context, platform::store& store,
                   stream_continuity& streams, handlers given);

    void start();

private:
    net::awaitable<void> read_past();
    net::awaitable<void> write_changes();
    /// Reads the record again while this host may not begin streams at a listed
    /// service or version that it lacks.
    net::awaitable<void> follow();
    /// True if there was a record.
    net::awaitable<bool> read();
    net::awaitable<void> write(const continuity::origin_history::record& known);

    net::io_context& m_context;
    platform::store& m_store;
    stream_continuity& m_streams;
    handlers m_handlers;
    std::optional<platform::stored_object> m_stored;
    /// What `m_stored` is known to hold.
    std::optional<continuity::origin_history::record> m_written;
};

} // namespace cicadahub::entry
