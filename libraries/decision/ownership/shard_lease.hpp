#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <optional>

namespace cicadahub::ownership
{

/// The lease of one shard as it is written in the platform's object API.
struct lease_record
{
    daemon_id holder;
    epoch_number epoch;
    /// Grows with each renewal, so that a renewal changes the object.
    std::uint64_t renewal = 0;
    /// Set when the holder gives the shard up before its lease ends.
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
    /// Added by observers, who do not share the holder's clock.
    milliseconds margin{1'000};
};

/// Holds, loses and takes over one shard. It trusts no clock but its own: a
/// holder counts from before it sent a renewal, an observer from when it first
/// saw the version that has not changed since.
class shard_lease
{
public:
    /// `rank` is 0 for the daemon preferred as holder; others wait longer.
    shard_lease(daemon_id self, lease_timing timing, std::uint32_t rank);

    /// The object as last read or watched; version 0 if it does not exist.
    void on_observed(const lease_record& record, object_version version,
                     time_point now);

    /// The update to send now, if one is due. It must then be reported by
    /// `on_write_result`.
    std::optional<lease_write> next_write(time_point now);

    void on_write_result(lease_write_result result, object_version version,
                         time_point now);

    /// Gives the shard up; the update to send, if the shard is held.
    std::optional<lease_write> release(time_point now);

    void set_rank(std::uint32_t rank) { m_rank = rank; }

    /// True while no other daemon can hold the shard. To be asked immediately
    /// before each outside effect.
    bool is_held(time_point now) const;

    /// End of the holding on this daemon's clock; meaningful while held.
    time_point valid_until() const
    {
        return m_valid_until.value_or(time_point{});
    }

    /// Fencing number of the current holding; meaningful while held.
    epoch_number epoch() const { return m_epoch; }

    /// True if the shard was taken over without the wait for its lease to end:
    /// given up by its former holder, or won back by that holder itself.
    bool was_acquired_without_wait() const
    {
        return m_was_acquired_without_wait;
    }

    /// Version of the object as last observed or written.
    object_version version() const { return m_version; }

    /// The holder as last observed.
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

    std::optional<time_point> m_valid_until;
    time_point m_last_renewal{};
    epoch_number m_epoch;
    bool m_was_acquired_without_wait = false;

    std::optional<lease_write> m_in_flight;
    time_point m_sent_at{};
};

} // namespace cicadahub::ownership
