#pragma once

#include "core/json_reader.hpp"
#include "entry/entry_state.hpp"
#include "platform/store.hpp"

#include <functional>

namespace cicadahub::entry
{

/// Keeps in the platform's store what hosts that start have to know before they
/// send anything, even if all hosts start at the same moment: the limits that
/// servers name, since when there has been traffic if a service has cold
/// starts, the requests and parts of prompts that crash servers, and the
/// crashes of requests that may be refused later. The holder of the placement
/// lease writes them, when they change.
class notice_record
{
public:
    struct handlers
    {
        std::function<bool()> is_holder;
        std::function<bool()> is_stopping;
        /// What is recorded is known as far as it can be.
        std::function<void()> on_known;
    };

    notice_record(net::io_context& context, platform::store& store,
                  entry_state& state, handlers given);

    void start();

private:
    net::awaitable<void> read_past();
    net::awaitable<void> write_changes();
    net::awaitable<void> read();
    /// Takes in what is stored. An entry that can't be read costs only itself.
    void apply_stored();
    void apply_traffic();
    void apply_limit(const json_reader& it, time_point heard_at);
    void apply_refused_request(const json_reader& it, time_point last_crash);
    void apply_crash(const json_reader& it, time_point crashed_at);
    void apply_refused_part(const json_reader& it, time_point last_crash);
    /// Calls `apply` for each entry of a list.
    void for_each_entry(std::string_view member,
                        const std::function<void(const json_reader&)>& apply);
    /// Writes what is known, if that is not what is stored.
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
