#include "decision/ownership/shard_lease.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace cicadahub::ownership
{

namespace
{

/// Additional delay per rank, so that the daemons try to acquire a free lease
/// one after the other.
constexpr milliseconds rank_delay{250};

} // namespace

shard_lease::shard_lease(daemon_id self, lease_timing timing,
                         std::uint32_t rank)
    : m_self(std::move(self)), m_timing(timing), m_rank(rank)
{
}

void shard_lease::on_observed(const lease_record& record,
                              object_version version, time_point now)
{
    if (m_has_observed && version <= m_version)
    {
        return;
    }
    m_has_observed = true;
    m_is_void = false;
    m_observed = record;
    m_highest_epoch = std::max(m_highest_epoch, record.epoch);
    m_version = version;
    m_first_seen = now;
    if (record.holder != m_self || record.is_released)
    {
        m_valid_until.reset();
    }
}

void shard_lease::on_store_restored(time_point now)
{
    m_is_void = true;
    m_valid_until.reset();
    m_earliest_acquisition = now + m_timing.duration + m_timing.margin;
}

bool shard_lease::can_acquire(time_point now) const
{
    const milliseconds wait = rank_delay * m_rank;
    if (now < m_earliest_acquisition + wait)
    {
        return false;
    }
    const bool does_exist = revision_of(m_version) > 0;
    const time_point expired_at =
        m_first_seen + m_timing.duration + m_timing.margin + wait;
    if (does_exist && m_observed.epoch < epoch_floor(era_of(m_version)))
    {
        // The object is of an older copy of the store: somebody may hold a
        // lease that the copy does not show.
        return now >= expired_at;
    }
    if (m_observed.holder == m_self && !m_observed.is_released)
    {
        // No other daemon can have acquired the lease while the object names
        // this daemon as the holder.
        return true;
    }
    if (m_observed.is_released || !does_exist)
    {
        return now >= m_first_seen + wait;
    }
    return now >= expired_at;
}

bool shard_lease::is_due(time_point now) const
{
    if (is_held(now))
    {
        return now >= m_last_renewal + m_timing.renew_every;
    }
    return can_acquire(now);
}

std::optional<lease_write> shard_lease::next_write(time_point now)
{
    if (m_in_flight || !m_has_observed || m_is_void || !is_due(now))
    {
        return std::nullopt;
    }
    lease_record next = m_observed;
    next.holder = m_self;
    next.is_released = false;
    ++next.renewal;
    if (!is_held(now))
    {
        // An expired lease is never renewed: another daemon may have held the
        // shard in the meantime, so the lease is acquired under a new epoch.
        const epoch_number highest =
            std::max(m_highest_epoch, epoch_floor(era_of(m_version)));
        next.epoch = epoch_number(highest.value() + 1);
        m_was_acquired_without_wait =
            revision_of(m_version) > 0 &&
            (m_observed.is_released || m_observed.holder == m_self);
    }
    m_sent_at = now;
    m_in_flight = lease_write{next, m_version};
    return m_in_flight;
}

void shard_lease::on_write_result(lease_write_result result,
                                  object_version version, time_point now)
{
    CICADAHUB_INVARIANT(m_in_flight.has_value());
    const lease_write write = *m_in_flight;
    m_in_flight.reset();
    if (result != lease_write_result::applied || m_is_void)
    {
        return;
    }
    if (version < m_version)
    {
        // A newer version was observed while the answer was in flight.
        return;
    }
    const bool was_held = is_held(now);
    const bool is_renewal = write.record.epoch == m_epoch;
    if (is_renewal && !was_held && !write.record.is_released)
    {
        // The lease expired while the renewal was in flight. The object still
        // names this daemon, but the daemon may have stopped acting as the
        // holder, so acquire the lease again under a new epoch.
        on_observed(write.record, version, now);
        return;
    }
    m_observed = write.record;
    m_version = version;
    m_first_seen = now;
    if (write.record.is_released)
    {
        m_valid_until.reset();
        return;
    }
    m_epoch = write.record.epoch;
    m_highest_epoch = std::max(m_highest_epoch, m_epoch);
    m_last_renewal = m_sent_at;
    m_valid_until = m_sent_at + m_timing.duration;
}

std::optional<lease_write> shard_lease::release(time_point now)
{
    if (m_in_flight || !is_held(now))
    {
        return std::nullopt;
    }
    lease_record next = m_observed;
    next.is_released = true;
    ++next.renewal;
    m_valid_until.reset();
    m_sent_at = now;
    m_in_flight = lease_write{next, m_version};
    return m_in_flight;
}

bool shard_lease::is_held(time_point now) const
{
    return m_valid_until.has_value() && now < *m_valid_until;
}

} // namespace cicadahub::ownership
