#include "caller/shared_suspect_table.hpp"

namespace cicadahub::caller
{

std::uint32_t
shared_suspect_table::on_crash(const suspicion::fingerprint& request)
{
    std::lock_guard lock(m_mutex);
    const std::uint32_t crashes =
        m_table.on_crash(request, monotonic_clock::now());
    m_size = m_table.size();
    return crashes;
}

void shared_suspect_table::on_notice(const suspicion::fingerprint& request,
                                     std::uint32_t crashes)
{
    std::lock_guard lock(m_mutex);
    m_table.on_notice(request, crashes, monotonic_clock::now());
    m_size = m_table.size();
}

void shared_suspect_table::on_completed(const suspicion::fingerprint& request)
{
    std::lock_guard lock(m_mutex);
    m_table.on_completed(request);
    m_size = m_table.size();
}

bool shared_suspect_table::is_suspect(
    const suspicion::fingerprint& request) const
{
    std::lock_guard lock(m_mutex);
    return m_table.is_suspect(request);
}

bool shared_suspect_table::is_refused(
    const suspicion::fingerprint& request) const
{
    std::lock_guard lock(m_mutex);
    return m_table.is_refused(request);
}

bool shared_suspect_table::try_isolate(const server_id& server)
{
    std::lock_guard lock(m_mutex);
    return m_table.try_isolate(server);
}

void shared_suspect_table::end_isolation(const server_id& server)
{
    std::lock_guard lock(m_mutex);
    m_table.end_isolation(server);
}

} // namespace cicadahub::caller
