#include "http/memory_budget.hpp"

#include "http/response_error.hpp"

#include <boost/system/system_error.hpp>

namespace cicadahub::http
{

bool memory_budget::take(std::size_t bytes)
{
    if (bytes > m_limit - m_used ||
        (m_account && !m_account->take_for_response(bytes)))
    {
        return false;
    }
    m_used += bytes;
    return true;
}

void memory_budget::give_back(std::size_t bytes)
{
    m_used -= bytes;
    if (m_account)
    {
        m_account->give_back(bytes);
    }
}

memory_share::memory_share(std::shared_ptr<memory_budget> budget)
    : m_budget(std::move(budget))
{
}

memory_share::~memory_share()
{
    m_budget->give_back(m_bytes);
}

void memory_share::resize(std::size_t bytes)
{
    if (bytes > m_bytes && !m_budget->take(bytes - m_bytes))
    {
        throw boost::system::system_error(response_error::over_budget);
    }
    if (bytes < m_bytes)
    {
        m_budget->give_back(m_bytes - bytes);
    }
    m_bytes = bytes;
}

} // namespace cicadahub::http
