#pragma once

#include "entry/entry_state.hpp"
#include "platform/store.hpp"

#include <functional>

namespace cicadahub::entry
{

/// Keeps the limits that servers name in the platform's store, so that hosts
/// that start know of them before they send anything, even if all hosts start
/// at the same moment. The holder of the placement lease writes them, when they
/// change.
class limit_record
{
public:
    struct handlers
    {
        std::function<bool()> is_holder;
        std::function<bool()> is_stopping;
        /// The limits are known as far as they can be.
        std::function<void()> on_known;
    };

    limit_record(net::io_context& context, platform::store& store,
                 entry_state& state, handlers given);

    void start();

private:
    net::awaitable<void> read_past();
    net::awaitable<void> write_changes();
    net::awaitable<void> read();
    /// Takes in what is stored. An entry that can't be read costs only itself.
    void apply_stored();
    /// Writes the limits, if they are not what is stored.
    net::awaitable<void> write();
    void on_known();

    net::io_context& m_context;
    platform::store& m_store;
    entry_state& m_state;
    handlers m_handlers;
    /// As last read or written; empty if that is not known.
    std::optional<platform::stored_object> m_stored;
};

} // namespace cicadahub::entry
