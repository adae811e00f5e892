#pragma once

#include "core/refusal.hpp"
#include "decision/admission/connection_table.hpp"
#include "decision/admission/memory_account.hpp"

#include <memory>

namespace cicadahub::http
{

/// What is done to clients that exceed a bound of this host.
enum class client_limit
{
    /// A request was refused: no memory is left for it.
    memory_refused,
    /// A request was refused after it had waited for memory until the read
    /// timeout.
    memory_timeout,
    /// A connection was not taken: no memory is left for it.
    memory_closed,
    /// A waiting connection was closed for a new one, or the new one was not
    /// taken, by the bound of all or of one address.
    idle_closed,
    connection_refused,
    address_idle_closed,
    address_refused,
};

inline constexpr std::size_t client_limit_count = 7;

std::string_view name_of(client_limit it);

/// Bounds that the connections of one listener share with each other and, for
/// the memory, with other listeners. Not thread-safe: only for servers with one
/// lane. Without an account or a table there is no bound.
struct client_guard
{
    std::shared_ptr<admission::memory_account> memory;
    std::shared_ptr<admission::connection_table> connections;
    std::function<void(client_limit)> on_limit;
    /// A request was refused before it was read whole.
    std::function<void(refusal_kind)> on_refusal;
};

/// Memory of one connection, given back by the destructor.
class held_memory
{
public:
    explicit held_memory(std::shared_ptr<admission::memory_account> account)
        : m_account(std::move(account))
    {
    }
    ~held_memory()
    {
        end_finish();
        shrink(0);
    }
    held_memory(const held_memory&) = delete;
    held_memory& operator=(const held_memory&) = delete;

    /// Changes the memory to this size; false if the account has no room.
    bool resize(std::size_t bytes);
    /// The same for a request that may wait. The first that does may use the
    /// account's room to be read to its end, until `end_finish`.
    admission::memory_account::verdict ask(std::size_t bytes);
    void end_finish();
    /// True if a request that announces to hold this much is refused at once.
    bool refuses(std::size_t bytes) const;
    void shrink(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }
    admission::memory_account* account() const { return m_account.get(); }

private:
    std::shared_ptr<admission::memory_account> m_account;
    std::size_t m_bytes = 0;
    bool m_is_finishing = false;
};

} // namespace cicadahub::http
