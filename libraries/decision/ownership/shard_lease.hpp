#pragma once

#include "core/store_version.hpp"
#include "core/units.hpp"

#include <optional>

namespace cicadahub::ownership
{

/// The lease of one shard as stored in the platform's object API.
struct lease_record
{
    daemon_id holder;
    epoch_number epoch;
    /// Incremented by each write, so that a renewal changes the object.
    std::uint64_t renewal = 0;
    /// True if the holder released the lease before it expired.
    bool is_released = true;

    bool operator==(const lease_record&) const = default;
};

/// A conditional update of the lease object.
struct lease_write
{
    lease_record record;
    object_version expected;
};

enum class lease_write_result
{
    applied,
    conflict,
    unknown,
};

struct lease_timing
{
    milliseconds duration{6'000};
    milliseconds renew_every{1'500};
    /// Added to the duration by observers, as they do not share the holder's
    /// clock.
    milliseconds margin{1'000};
};

/// Acquires, renews and releases the lease of one shard. Relies only on the
/// daemon's own clock: the holder counts the lease from before it sent a
/// renewal, an observer from when it first saw the object's current version.
class shard_lease
{
public:
    /// `rank` is 0 for the daemon preferred as holder; daemons of a higher rank
    /// wait longer before they acquire the lease.
    shard_lease(daemon_id self, lease_timing timing, std::uint32_t rank);

    /// Takes in the object as read or watched; revision 0 if it does not exist.
    void on_observed(const lease_record& record, object_version version,
                     time_point now);

    /// The store was restored from an older copy: a lease that was held is
    /// void, and none is acquired before every former one must have expired and
    /// the object was observed in the new era.
    void on_store_restored(time_point now);

    /// Returns the update to send now, if one is due. Its result must be
    /// reported to `on_write_result`.
    std::optional<lease_write> next_write(time_point now);

    void on_write_result(lease_write_result result, object_version version,
                         time_point now);

    /// Releases the lease. Returns the update to send, or none if the lease is
    /// not held or another update is in flight.
    std::optional<lease_write> release(time_point now);

    void set_rank(std::uint32_t rank) { m_rank = rank; }

    /// True while no other daemon can hold the shard. Must be checked
    /// immediately before each external side effect.
    bool is_held(time_point now) const;

    /// Expiry of the lease on this daemon's clock; meaningful while it is held.
    time_point valid_until() const
    {
        return m_valid_until.value_or(time_point{});
    }

    /// Epoch, the fencing token of the lease; meaningful while it is held.
    epoch_number epoch() const { return m_epoch; }

    /// True if the lease was acquired without waiting for the former lease to
    /// expire, because its holder had released it or was this daemon itself.
    bool was_acquired_without_wait() const
    {
        return m_was_acquired_without_wait;
    }

    /// Version of the object as last observed or written.
    object_version version() const { return m_version; }

    /// The lease as last observed or written.
    const lease_record& observed() const { return m_observed; }

private:
    bool can_acquire(time_point now) const;
    bool is_due(time_point now) const;

    daemon_id m_self;
    lease_timing m_timing;
    std::uint32_t m_rank;

    lease_record m_observed;
    object_version m_version;
    time_point m_first_seen{};
    bool m_has_observed = false;
    /// The object has not been observed since the store was restored.
    bool m_is_void = false;
    time_point m_earliest_acquisition{};
    /// Highest epoch known of the shard, in any era.
    epoch_number m_highest_epoch;

    std::optional<time_point> m_valid_until;
    time_point m_last_renewal{};
    epoch_number m_epoch;
    bool m_was_acquired_without_wait = false;

    std::optional<lease_write> m_in_flight;
    time_point m_sent_at{};
};

} // namespace cicadahub::ownership
