#include "decision/suspicion/suspect_table.hpp"

#include <algorithm>

namespace cicadahub::suspicion
{

std::uint32_t suspect_table::on_crash(const fingerprint& request,
                                      time_point now)
{
    evict_entries(now);
    suspect& it = m_suspects[request];
    it.last_seen = now;
    it.last_crash = now;
    return ++it.crashes;
}

bool suspect_table::on_notice(const fingerprint& request, std::uint32_t crashes,
                              time_point now)
{
    if (crashes == 0)
    {
        m_suspects.erase(request);
        return false;
    }
    evict_entries(now);
    suspect& it = m_suspects[request];
    it.last_seen = now;
    const bool is_news = crashes > it.crashes;
    it.crashes = std::max(it.crashes, crashes);
    return is_news;
}

std::uint32_t suspect_table::on_completed(const fingerprint& request)
{
    const auto known = m_suspects.find(request);
    if (known == m_suspects.end())
    {
        return 0;
    }
    const std::uint32_t crashes = known->second.crashes;
    m_suspects.erase(known);
    return crashes;
}

std::vector<std::pair<fingerprint, std::uint32_t>>
suspect_table::crashed_since(time_point since) const
{
    std::vector<std::pair<fingerprint, std::uint32_t>> found;
    for (const auto& [request, it] : m_suspects)
    {
        if (it.last_crash >= since)
        {
            found.emplace_back(request, it.crashes);
        }
    }
    return found;
}

bool suspect_table::is_suspect(const fingerprint& request) const
{
    return m_suspects.contains(request);
}

bool suspect_table::is_refused(const fingerprint& request) const
{
    const auto at = m_suspects.find(request);
    return at != m_suspects.end() && at->second.crashes >= m_limits.crashes;
}

bool suspect_table::try_isolate(const server_id& server)
{
    return m_isolating.insert(server).second;
}

void suspect_table::end_isolation(const server_id& server)
{
    m_isolating.erase(server);
}

void suspect_table::evict_entries(time_point now)
{
    std::erase_if(m_suspects, [&](const auto& it)
                  { return now >= it.second.last_seen + m_limits.kept_for; });
    while (m_suspects.size() >= m_limits.entries)
    {
        const auto oldest = std::min_element(
            m_suspects.begin(), m_suspects.end(),
            [](const auto& left, const auto& right)
            { return left.second.last_seen < right.second.last_seen; });
        m_suspects.erase(oldest);
    }
}

} // namespace cicadahub::suspicion
