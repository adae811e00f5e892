#include "daemon/shard_elector.hpp"

#include "core/event_log.hpp"
#include "daemon/lease_document.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadahub::daemon
{

namespace
{

constexpr milliseconds poll_pause{50};
constexpr milliseconds retry_pause{200};

} // namespace

shard_elector::shard_elector(net::io_context& context, platform::store& store,
                             daemon_id self, shard_id shard,
                             ownership::lease_timing timing, rank_handler rank,
                             won_handler on_won, lost_handler on_lost)
    : m_context(context), m_store(store), m_shard(std::move(shard)),
      m_lease(std::move(self), timing, 0), m_rank(std::move(rank)),
      m_on_won(std::move(on_won)), m_on_lost(std::move(on_lost))
{
}

void shard_elector::start()
{
    net::co_spawn(m_context, run(), net::detached);
}

net::awaitable<void> shard_elector::run()
{
    co_await read_initial_state();
    while (!m_is_stopped)
    {
        co_await renew_or_win();
        announce_change();
        co_await pause(m_context, poll_pause);
    }
}

net::awaitable<void> shard_elector::renew_or_win()
{
    const std::optional<std::uint32_t> rank = m_rank();
    if (!rank && !is_held())
    {
        co_return;
    }
    m_lease.set_rank(rank.value_or(0));
    if (const auto next = m_lease.next_write(monotonic_clock::now()))
    {
        co_await write(*next);
    }
}

void shard_elector::on_holder_reported(const daemon_id& holder,
                                       epoch_number epoch,
                                       object_version version)
{
    ownership::lease_record record;
    record.holder = holder;
    record.epoch = epoch;
    record.is_released = false;
    m_lease.on_observed(record, version, monotonic_clock::now());
    announce_change();
}

void shard_elector::on_store_restored()
{
    m_lease.on_store_restored(monotonic_clock::now());
    announce_change();
    net::co_spawn(m_context, read_initial_state(), net::detached);
}

void shard_elector::on_holder_claim_ended()
{
    net::co_spawn(m_context, read_back(), net::detached);
}

net::awaitable<void> shard_elector::read_initial_state()
{
    while (!m_is_stopped)
    {
        try
        {
            const auto stored = co_await m_store.read(
                platform::collection::leases, m_shard.value());
            if (stored)
            {
                apply(*stored);
            }
            else
            {
                m_lease.on_observed({}, in_era(m_store.era(), 0),
                                    monotonic_clock::now());
            }
            co_return;
        }
        catch (const error&)
        {
            // Retried until the platform answers.
        }
        co_await pause(m_context, retry_pause);
    }
}

void shard_elector::apply(const platform::stored_object& it)
{
    if (it.name != m_shard.value())
    {
        return;
    }
    m_write_marks = it.write_marks;
    m_lease.on_observed(lease_from_json(it.spec), it.version,
                        monotonic_clock::now());
    announce_change();
}

net::awaitable<void> shard_elector::write(ownership::lease_write it)
{
    m_is_writing = true;
    platform::stored_object former;
    former.name = m_shard.value();
    former.version = it.expected;
    former.write_marks = m_write_marks;
    const platform::write_result result = co_await m_store.write(
        platform::collection::leases, std::move(former), to_json(it.record));
    m_lease.on_write_result(result_of(result.outcome), result.version,
                            monotonic_clock::now());
    m_is_writing = false;
    if (result.outcome != platform::write_outcome::applied)
    {
        co_await read_back();
    }
}

net::awaitable<void> shard_elector::read_back()
{
    try
    {
        const auto stored = co_await m_store.read(platform::collection::leases,
                                                  m_shard.value());
        if (stored)
        {
            apply(*stored);
        }
    }
    catch (const error&)
    {
        // The watch delivers the object once the platform answers again.
    }
}

void shard_elector::announce_change()
{
    const bool is_held = this->is_held();
    if (m_announced_epoch &&
        (!is_held || *m_announced_epoch != m_lease.epoch()))
    {
        CICADAHUB_EVENT(INFO, lease_lost)
            << "shard=" << m_shard << " epoch=" << *m_announced_epoch;
        m_announced_epoch.reset();
        m_on_lost();
    }
    if (is_held && !m_announced_epoch && !m_is_stopped)
    {
        m_announced_epoch = m_lease.epoch();
        CICADAHUB_EVENT(INFO, lease_won)
            << "shard=" << m_shard << " epoch=" << m_lease.epoch();
        m_on_won(m_lease.epoch());
    }
}

net::awaitable<void> shard_elector::release()
{
    m_is_stopped = true;
    co_await resign();
}

net::awaitable<void> shard_elector::resign()
{
    while (m_is_writing)
    {
        co_await pause(m_context, poll_pause);
    }
    const auto last = m_lease.release(monotonic_clock::now());
    announce_change();
    if (last)
    {
        co_await write(*last);
        CICADAHUB_EVENT(INFO, lease_released) << "shard=" << m_shard;
    }
}

} // namespace cicadahub::daemon
