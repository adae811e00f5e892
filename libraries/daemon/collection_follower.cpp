#include "daemon/collection_follower.hpp"

#include "core/event_log.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadahub::daemon
{

namespace
{

constexpr milliseconds retry_pause{200};

} // namespace

collection_follower::collection_follower(net::io_context& context,
                                         platform::store& store,
                                         platform::collection where,
                                         object_handler on_object,
                                         batch_handler on_batch)
    : m_context(context), m_store(store), m_where(where),
      m_on_object(std::move(on_object)), m_on_batch(std::move(on_batch))
{
}

void collection_follower::start()
{
    net::co_spawn(m_context, run(), net::detached);
}

net::awaitable<void> collection_follower::run()
{
    while (!m_is_stopped)
    {
        bool has_failed = false;
        try
        {
            if (m_needs_list)
            {
                co_await list_all();
            }
            co_await watch_once();
        }
        catch (const platform::watch_expired&)
        {
            CICADAHUB_EVENT(INFO, watch_restarted)
                << "collection=" << platform::name_of(m_where);
            m_needs_list = true;
        }
        catch (const error& reason)
        {
            note_failure(reason.what());
            has_failed = true;
        }
        milliseconds wait{0};
        if (m_pace)
        {
            wait = m_pace();
        }
        if (has_failed)
        {
            wait = retry_pause;
        }
        if (wait.count() > 0)
        {
            co_await pause(m_context, wait);
        }
    }
}

net::awaitable<void> collection_follower::list_all()
{
    const platform::listing all = co_await m_store.list(m_where);
    note_contact();
    for (const platform::stored_object& it : all.objects)
    {
        m_on_object(it);
    }
    m_version = all.version;
    m_needs_list = false;
    m_on_batch(true);
}

net::awaitable<void> collection_follower::watch_once()
{
    const platform::listing changes =
        co_await m_store.watch(m_where, m_version);
    note_contact();
    for (const platform::stored_object& it : changes.objects)
    {
        m_on_object(it);
    }
    m_version = changes.version;
    if (!changes.objects.empty())
    {
        m_on_batch(false);
    }
}

void collection_follower::note_contact()
{
    m_last_contact = monotonic_clock::now();
    if (!m_is_in_contact)
    {
        m_is_in_contact = true;
        CICADAHUB_EVENT(INFO, platform_reachable)
            << "collection=" << platform::name_of(m_where);
    }
}

void collection_follower::note_failure(const char* reason)
{
    if (m_is_in_contact)
    {
        m_is_in_contact = false;
        CICADAHUB_EVENT(WARNING, platform_unreachable)
            << "collection=" << platform::name_of(m_where)
            << " reason=" << reason;
    }
}

} // namespace cicadahub::daemon
