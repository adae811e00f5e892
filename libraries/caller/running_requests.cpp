#include "caller/running_requests.hpp"

#include <vector>

namespace cicadahub::caller
{

running_requests::registration::registration(running_requests& table,
                                             key_hash hash,
                                             cancel_function cancel)
    : m_table(table), m_hash(std::move(hash)), m_cancel(std::move(cancel))
{
    m_table.m_requests[m_hash].insert(this);
}

running_requests::registration::~registration()
{
    const auto at = m_table.m_requests.find(m_hash);
    at->second.erase(this);
    if (at->second.empty())
    {
        m_table.m_requests.erase(at);
    }
}

void running_requests::cancel(const key_hash& hash)
{
    const auto at = m_requests.find(hash);
    if (at == m_requests.end())
    {
        return;
    }
    // A cancelled request may remove itself from the table during the loop.
    const std::vector<registration*> found(at->second.begin(),
                                           at->second.end());
    for (registration* it : found)
    {
        it->m_was_cancelled = true;
        it->m_cancel();
    }
}

} // namespace cicadahub::caller
