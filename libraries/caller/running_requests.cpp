#include "caller/running_requests.hpp"

#include <vector>

namespace cicadahub::caller
{

running_requests::registration::registration(running_requests& table,
                                             key_hash hash,
                                             cancel_function cancel)
    : m_table(table), m_hash(std::move(hash)), m_cancel(std::move(cancel))
{
    m_table.m_requests.emplace(m_hash, this);
}

running_requests::registration::~registration()
{
    const auto range = m_table.m_requests.equal_range(m_hash);
    for (auto at = range.first; at != range.second; ++at)
    {
        if (at->second == this)
        {
            m_table.m_requests.erase(at);
            return;
        }
    }
}

void running_requests::cancel(const key_hash& hash)
{
    std::vector<registration*> found;
    const auto range = m_requests.equal_range(hash);
    for (auto at = range.first; at != range.second; ++at)
    {
        found.push_back(at->second);
    }
    for (registration* it : found)
    {
        it->m_was_cancelled = true;
        it->m_cancel();
    }
}

} // namespace cicadahub::caller
