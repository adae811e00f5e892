#include "entry/client_bounds.hpp"

#include "core/structured_log.hpp"

#include <sys/resource.h>

namespace cicadahub::entry
{

namespace
{

constexpr seconds log_period{1};

/// The system's limit binds if it is lower than the setting.
std::size_t usable_descriptors(std::size_t given)
{
    rlimit found{};
    if (::getrlimit(RLIMIT_NOFILE, &found) != 0 ||
        found.rlim_cur == RLIM_INFINITY)
    {
        return given;
    }
    return std::min<std::size_t>(given, found.rlim_cur);
}

} // namespace

client_bounds::client_bounds(entry_state& state)
    : m_state(state), m_bounds(admission::descriptor_bounds_of(
                          usable_descriptors(state.settings.descriptors)))
{
}

http::client_guard client_bounds::callers()
{
    return guard(m_state.memory, m_bounds.callers);
}

http::client_guard client_bounds::peers()
{
    return guard(m_state.memory, m_bounds.peers);
}

http::client_guard client_bounds::readiness()
{
    return guard(nullptr, m_bounds.readiness);
}

http::client_guard
client_bounds::guard(std::shared_ptr<admission::memory_account> memory,
                     admission::connection_bounds bounds)
{
    return {std::move(memory),
            std::make_shared<admission::connection_table>(bounds),
            [this](http::client_limit it) { on_limit(it); },
            [this](refusal_kind it)
            {
                m_state.metrics.count_refusal(it);
            }};
}

void client_bounds::on_limit(http::client_limit it)
{
    m_state.metrics.count_client_limit(name_of(it));
    limit_log& log = m_logs.at(static_cast<std::size_t>(it));
    ++log.count;
    const time_point now = monotonic_clock::now();
    if (now < log.next)
    {
        return;
    }
    log.next = now + log_period;
    log_event(severity::warning, event_number::client_limited,
              {{"limit", name_of(it)},
               {"count", std::exchange(log.count, 0)},
               {"memory_bytes", m_state.memory->used()},
               {"memory_waiting", m_state.memory->waiting()}});
}

} // namespace cicadahub::entry
