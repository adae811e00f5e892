#pragma once

#include "daemon/member_directory.hpp"
#include "decision/ownership/shard_lease.hpp"
#include "platform/store.hpp"

#include <vector>

namespace cicadahub::daemon
{

/// Holds one of a fixed number of slots under a long lease, so that what is
/// fixed for each slot goes on through an outage of the platform.
class slot_holder
{
public:
    slot_holder(net::io_context& context, platform::store& store,
                const member_directory& members, std::uint32_t slots,
                ownership::lease_timing timing);

    /// Begins once the collection of leases has been listed.
    void start();
    net::awaitable<void> release();

    /// Takes an object of the collection of leases.
    void apply(const platform::stored_object& it);

    /// Until when a slot is held, on this daemon's clock; none if none is.
    std::optional<time_point> held_until() const;

private:
    struct slot
    {
        std::string name;
        ownership::shard_lease lease;
        std::vector<std::string> write_marks;
    };

    net::awaitable<void> run();
    net::awaitable<void> write(slot& it, ownership::lease_write next);
    slot* held_slot();

    net::io_context& m_context;
    platform::store& m_store;
    ownership::lease_timing m_timing;
    std::vector<slot> m_slots;
    std::size_t m_first_candidate = 0;
    bool m_is_started = false;
    bool m_is_stopped = false;
    bool m_is_writing = false;
};

} // namespace cicadahub::daemon
