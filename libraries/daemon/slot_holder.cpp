#include "daemon/slot_holder.hpp"

#include "daemon/lease_document.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <xxhash.h>

#include <algorithm>

namespace cicadahub::daemon
{

namespace
{

constexpr milliseconds poll_pause{250};

} // namespace

slot_holder::slot_holder(net::io_context& context, platform::store& store,
                         const member_directory& members, std::uint32_t slots,
                         ownership::lease_timing timing)
    : m_context(context), m_store(store), m_timing(timing)
{
    for (std::uint32_t n = 0; n < slots; ++n)
    {
        m_slots.push_back({"slot-" + std::to_string(n),
                           ownership::shard_lease(members.self(), timing, 0),
                           {}});
    }
    const std::string& name = members.self().value();
    m_first_candidate = XXH64(name.data(), name.size(), 0) % m_slots.size();
}

void slot_holder::start()
{
    if (std::exchange(m_is_started, true))
    {
        return;
    }
    const time_point now = monotonic_clock::now();
    for (slot& it : m_slots)
    {
        // A slot that was not in the list has no lease object yet.
        it.lease.on_observed({}, {}, now);
    }
    net::co_spawn(m_context, run(), net::detached);
}

void slot_holder::apply(const platform::stored_object& object)
{
    for (slot& it : m_slots)
    {
        if (it.name == object.name)
        {
            it.write_marks = object.write_marks;
            it.lease.on_observed(lease_from_json(object.spec), object.version,
                                 monotonic_clock::now());
        }
    }
}

slot_holder::slot* slot_holder::held_slot()
{
    const time_point now = monotonic_clock::now();
    for (slot& it : m_slots)
    {
        if (it.lease.is_held(now))
        {
            return &it;
        }
    }
    return nullptr;
}

std::optional<time_point> slot_holder::held_until() const
{
    const time_point now = monotonic_clock::now();
    for (const slot& it : m_slots)
    {
        if (it.lease.is_held(now))
        {
            return it.lease.valid_until();
        }
    }
    return std::nullopt;
}

net::awaitable<void> slot_holder::run()
{
    while (!m_is_stopped)
    {
        slot* own = held_slot();
        for (std::size_t n = 0; n < m_slots.size(); ++n)
        {
            slot& it = own != nullptr
                           ? *own
                           : m_slots[(m_first_candidate + n) % m_slots.size()];
            const auto next = it.lease.next_write(monotonic_clock::now());
            if (next)
            {
                co_await write(it, *next);
                break;
            }
            if (own != nullptr)
            {
                break;
            }
        }
        co_await pause(m_context, poll_pause);
    }
}

net::awaitable<void> slot_holder::write(slot& it, ownership::lease_write next)
{
    m_is_writing = true;
    platform::stored_object former;
    former.name = it.name;
    former.version = next.expected;
    former.write_marks = it.write_marks;
    const platform::write_result result = co_await m_store.write(
        platform::collection::leases, std::move(former), to_json(next.record));
    it.lease.on_write_result(result_of(result.outcome), result.version,
                             monotonic_clock::now());
    m_is_writing = false;
}

net::awaitable<void> slot_holder::release()
{
    m_is_stopped = true;
    while (m_is_writing)
    {
        co_await pause(m_context, poll_pause);
    }
    slot* own = held_slot();
    if (own == nullptr)
    {
        co_return;
    }
    if (const auto last = own->lease.release(monotonic_clock::now()))
    {
        co_await write(*own, *last);
    }
}

} // namespace cicadahub::daemon
