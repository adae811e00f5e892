#include "daemon/audit_log.hpp"

#include "core/event_log.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadahub::daemon
{

namespace
{

/// Keeps a segment far below the platform's limit of 1 MB per value.
constexpr std::size_t entries_per_segment = 500;
constexpr std::size_t max_pending_entries = 100'000;
constexpr milliseconds batch_interval{200};

std::int64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace

audit_log::audit_log(net::io_context& context, platform::store& store,
                     std::string writer)
    : m_context(context), m_store(store), m_writer(std::move(writer))
{
    open_segment();
}

void audit_log::start()
{
    net::co_spawn(m_context, run(), net::detached);
}

void audit_log::append(audit_entry it)
{
    if (m_pending.size() >= max_pending_entries)
    {
        CICADAHUB_EVENT(ERROR, audit_segment_failed)
            << "pending queue full, entry dropped";
        return;
    }
    m_pending.push_back({{"at_ms", wall_clock_ms()},
                         {"who", it.actor},
                         {"what", it.action},
                         {"target", it.target},
                         {"before", it.before.value()},
                         {"after", it.after.value()}});
}

void audit_log::open_segment()
{
    m_segment = {};
    m_segment.name =
        "audit." + m_writer + "." + std::to_string(m_next_segment++);
    m_entries.clear();
}

net::awaitable<void> audit_log::run()
{
    for (;;)
    {
        co_await pause(m_context, batch_interval);
        if (!m_is_writing)
        {
            co_await write_batch();
        }
    }
}

net::awaitable<void> audit_log::flush()
{
    while (m_is_writing)
    {
        co_await pause(m_context, batch_interval);
    }
    bool is_written = true;
    while (is_written && !m_pending.empty())
    {
        is_written = co_await write_batch();
    }
}

net::awaitable<bool> audit_log::write_batch()
{
    if (m_pending.empty())
    {
        co_return true;
    }
    m_is_writing = true;
    boost::json::array next = m_entries;
    std::size_t taken = 0;
    while (taken < m_pending.size() && next.size() < entries_per_segment)
    {
        next.push_back(m_pending[taken++]);
    }
    boost::json::object spec;
    spec["entries"] = next;
    const platform::write_result result = co_await m_store.write(
        platform::collection::audits, m_segment, std::move(spec));
    m_is_writing = false;
    if (result.outcome == platform::write_outcome::unknown)
    {
        co_return false;
    }
    if (result.outcome == platform::write_outcome::conflict)
    {
        // An earlier write of this segment with unknown outcome was applied
        // after all. Continue in a new segment: entries may then be stored
        // twice, but none is lost.
        open_segment();
        co_return true;
    }
    m_pending.erase(m_pending.begin(),
                    m_pending.begin() + static_cast<std::ptrdiff_t>(taken));
    m_segment.version = result.version;
    m_entries = std::move(next);
    if (m_entries.size() >= entries_per_segment)
    {
        open_segment();
    }
    co_return true;
}

} // namespace cicadahub::daemon
