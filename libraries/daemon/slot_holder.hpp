#pragma once

#include "daemon/member_directory.hpp"
#include "decision/ownership/shard_lease.hpp"
#include "platform/store.hpp"

#include <vector>

namespace cicadahub::daemon
{

/// Holds one of a fixed number of quota slots under a long lease, so that the
/// daemon can keep spending the slot's fixed share of each rate through an
/// outage of the platform.
class slot_holder
{
public:
    slot_holder(net::io_context& context, platform::store& store,
                const member_directory& members, std::uint32_t slots,
                ownership::lease_timing timing);

    /// To be called once the leases collection has been listed; repeated calls
    /// have no effect.
    void start();
    net::awaitable<void> release();

    /// Applies an object of the leases collection.
    void apply(const platform::stored_object& it);

    /// End of the held slot's lease on this daemon's clock; none if no slot is
    /// held.
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
