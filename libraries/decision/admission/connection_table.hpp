#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace cicadahub::admission
{

struct connection_bounds
{
    std::size_t all = 0;
    /// Connections from one client address.
    std::size_t per_address = 0;
};

/// Bounds of a host's listeners.
struct descriptor_bounds
{
    connection_bounds callers;
    connection_bounds peers;
    connection_bounds readiness;
};

/// Shares the descriptors of a process out. What the listeners leave is for
/// files and for connections to servers, the store and peers.
descriptor_bounds descriptor_bounds_of(std::size_t descriptors);

/// The connections of one listener. At a bound, one that waits for a request
/// is closed for the new one: the one that has waited longest, of the address
/// that reached its bound or has most connections.
class connection_table
{
    struct connection;
    using connection_list = std::list<connection>;

    struct address_entry
    {
        std::size_t count = 0;
        /// Those that may be closed, the one that has waited longest first.
        connection_list idle;
        connection_list busy;
    };
    using address_map = std::map<std::string, address_entry>;

    struct connection
    {
        address_map::iterator address;
        std::function<void()> close;
        bool is_idle = true;
        /// It was closed and no longer counts.
        bool is_closed = false;
    };

public:
    using handle = connection_list::iterator;

    enum class bound
    {
        none,
        all,
        per_address,
    };

    struct verdict
    {
        /// Empty if the new connection is not taken.
        std::optional<handle> taken;
        /// The bound that was reached. If the new connection is taken, another
        /// one was closed for it.
        bound reached = bound::none;
    };

    explicit connection_table(connection_bounds bounds) : m_bounds(bounds) {}

    /// `close` closes the new connection and is called at most once.
    verdict admit(const std::string& address, std::function<void()> close);

    /// The connection waits for a request, or for the rest of its head.
    void set_idle(handle it);
    void set_busy(handle it);
    void remove(handle it);

    std::size_t size() const { return m_size; }

private:
    /// False if none of the address waits.
    bool close_oldest(address_map::iterator address);
    bool close_any();

    connection_bounds m_bounds;
    address_map m_addresses;
    std::size_t m_size = 0;
};

} // namespace cicadahub::admission
