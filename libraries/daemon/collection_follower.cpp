#include "daemon/collection_follower.hpp"

#include "core/structured_log.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadahub::daemon
{

namespace
{

/// Exponential backoff between calls that the platform does not answer. The
/// maximum bounds how long a recovered platform goes unnoticed.
constexpr milliseconds first_retry_pause{200};
constexpr milliseconds longest_retry_pause{1'000};
/// Exponential backoff between lists of which the platform withholds later
/// pages. Each costs a call for every page before, and what is missing comes
/// from peers or by the watch once it changes.
constexpr milliseconds first_relist_pause{200};
constexpr milliseconds longest_relist_pause{10'000};
/// Minimum time between two refreshes, so that changes made close together are
/// fetched in one call. A quarter of the 2 s within which a daemon must learn
/// of a change.
constexpr milliseconds refresh_pause{500};
/// Wait of a watch that should return immediately.
constexpr milliseconds no_wait{1};

} // namespace

collection_follower::collection_follower(net::io_context& context,
                                         platform::store& store,
                                         platform::collection watched,
                                         object_handler on_object,
                                         batch_handler on_batch,
                                         pace_handler pace)
    : m_context(context), m_store(store), m_collection(watched),
      m_on_object(std::move(on_object)), m_on_batch(std::move(on_batch)),
      m_pace(std::move(pace))
{
}

void collection_follower::start()
{
    net::co_spawn(m_context, run(), net::detached);
}

void collection_follower::refresh()
{
    const time_point now = monotonic_clock::now();
    const milliseconds shortest_pause =
        m_is_platform_reachable ? refresh_pause : longest_retry_pause;
    if (m_is_refreshing || now < m_refreshed_at + shortest_pause)
    {
        return;
    }
    m_is_refreshing = true;
    m_refreshed_at = now;
    confirm([this] { m_is_refreshing = false; });
}

void collection_follower::confirm(std::function<void()> on_end)
{
    // Parameters live as long as the coroutine, captures would not.
    const auto run = [](collection_follower& self,
                        std::function<void()> end) -> net::awaitable<void>
    {
        co_await self.fetch_changes();
        end();
    };
    net::co_spawn(m_context, run(*this, std::move(on_end)), net::detached);
}

net::awaitable<void> collection_follower::fetch_changes()
{
    outcome it = outcome::delayed;
    while (it == outcome::delayed)
    {
        it = co_await poll(no_wait);
    }
}

net::awaitable<void> collection_follower::run()
{
    milliseconds retry_pause = first_retry_pause;
    while (true)
    {
        const follow_pace pace = m_pace();
        const outcome it = co_await poll(std::max(pace.wait, no_wait));
        if (it == outcome::delayed)
        {
            continue;
        }
        if (it == outcome::answered)
        {
            retry_pause = first_retry_pause;
            co_await pause(m_context, pace.pause);
            continue;
        }
        co_await pause(m_context, retry_pause);
        retry_pause = std::min(2 * retry_pause, longest_retry_pause);
    }
}

net::awaitable<collection_follower::outcome>
collection_follower::poll(milliseconds wait)
{
    const time_point began = monotonic_clock::now();
    try
    {
        if (m_needs_list || began >= m_relist_at)
        {
            co_await list_all();
        }
        co_await watch_once(wait);
        co_return outcome::answered;
    }
    catch (const platform::watch_expired&)
    {
        log_event(severity::info, event_number::watch_restarted,
                  {{"collection", platform::name_of(m_collection)}});
        m_needs_list = true;
        co_return outcome::answered;
    }
    catch (const platform::call_delayed&)
    {
        const auto took = std::chrono::duration_cast<milliseconds>(
            monotonic_clock::now() - began);
        log_event(severity::info, event_number::platform_call_delayed,
                  {{"collection", platform::name_of(m_collection)},
                   {"took_ms", took.count()}});
        co_return outcome::delayed;
    }
    catch (const malformed_document& reason)
    {
        log_event(severity::warning, event_number::malformed_object,
                  {{"collection", platform::name_of(m_collection)},
                   {"reason", reason.what()}});
        // The same watch would get the same answer for as long as the store
        // keeps its history.
        m_needs_list = true;
        mark_unreachable(reason.what(), began);
        co_return outcome::failed;
    }
    catch (const error& reason)
    {
        mark_unreachable(reason.what(), began);
        co_return outcome::failed;
    }
}

net::awaitable<void> collection_follower::list_all()
{
    try
    {
        const platform::listing all = co_await m_store.list(m_collection);
        m_relist_at = time_point::max();
        m_relist_pause = milliseconds(0);
        on_list(all, true);
    }
    catch (const platform::incomplete_list& reason)
    {
        note_incomplete(reason);
        on_list(reason.read(), false);
    }
}

void collection_follower::note_incomplete(const platform::incomplete_list& it)
{
    m_relist_pause = std::clamp(2 * m_relist_pause, first_relist_pause,
                                longest_relist_pause);
    m_relist_at = monotonic_clock::now() + m_relist_pause;
    log_event(severity::warning, event_number::list_incomplete,
              {{"collection", platform::name_of(m_collection)},
               {"objects", it.read().objects.size()},
               {"next_list_ms", m_relist_pause.count()},
               {"reason", it.what()}});
}

void collection_follower::on_list(const platform::listing& read,
                                  bool is_complete)
{
    mark_reachable();
    for (const platform::stored_object& it : read.objects)
    {
        m_on_object(it);
    }
    m_version = std::max(m_version, read.version);
    m_is_complete = is_complete;
    m_needs_list = false;
    if (is_complete)
    {
        m_complete_version = m_version;
    }
    m_on_batch(is_complete);
}

net::awaitable<void> collection_follower::watch_once(milliseconds wait)
{
    const platform::listing changes =
        co_await m_store.watch(m_collection, m_version, wait);
    mark_reachable();
    for (const platform::stored_object& it : changes.objects)
    {
        m_on_object(it);
    }
    m_version = std::max(m_version, changes.version);
    if (m_is_complete)
    {
        m_complete_version = m_version;
    }
    if (!changes.objects.empty())
    {
        m_on_batch(false);
    }
}

void collection_follower::mark_reachable()
{
    m_logged_reason.clear();
    if (!m_is_platform_reachable)
    {
        m_is_platform_reachable = true;
        log_event(severity::info, event_number::platform_reachable,
                  {{"collection", platform::name_of(m_collection)}});
    }
}

void collection_follower::mark_unreachable(const char* reason, time_point began)
{
    m_is_platform_reachable = false;
    if (m_logged_reason == reason)
    {
        return;
    }
    m_logged_reason = reason;
    const auto took = std::chrono::duration_cast<milliseconds>(
        monotonic_clock::now() - began);
    log_event(severity::warning, event_number::platform_unreachable,
              {{"collection", platform::name_of(m_collection)},
               {"took_ms", took.count()},
               {"reason", reason}});
}

} // namespace cicadahub::daemon
