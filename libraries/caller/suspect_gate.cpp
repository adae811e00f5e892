#include "caller/suspect_gate.hpp"

namespace cicadahub::caller
{

std::uint32_t suspect_gate::on_crash(const suspicion::fingerprint& request)
{
    std::lock_guard lock(m_mutex);
    const std::uint32_t crashes =
        m_table.on_crash(request, monotonic_clock::now());
    m_size = m_table.size();
    return crashes;
}

void suspect_gate::on_notice(const suspicion::fingerprint& request,
                             std::uint32_t crashes)
{
    std::lock_guard lock(m_mutex);
    m_table.on_notice(request, crashes, monotonic_clock::now());
    m_size = m_table.size();
}

void suspect_gate::on_completed(const suspicion::fingerprint& request)
{
    std::lock_guard lock(m_mutex);
    m_table.on_completed(request);
    m_size = m_table.size();
}

bool suspect_gate::is_suspect(const suspicion::fingerprint& request) const
{
    std::lock_guard lock(m_mutex);
    return m_table.is_suspect(request);
}

bool suspect_gate::is_refused(const suspicion::fingerprint& request) const
{
    std::lock_guard lock(m_mutex);
    return m_table.is_refused(request);
}

bool suspect_gate::try_isolate(const server_id& server)
{
    std::lock_guard lock(m_mutex);
    return m_table.try_isolate(server);
}

void suspect_gate::end_isolation(const server_id& server)
{
    std::lock_guard lock(m_mutex);
    m_table.end_isolation(server);
}

} // namespace cicadahub::caller
