#include "http/client_guard.hpp"

#include <array>

namespace cicadahub::http
{

std::string_view name_of(client_limit it)
{
    constexpr std::array<std::string_view, client_limit_count> names{
        "memory-refused", "memory-timeout",     "memory-closed",
        "idle-closed",    "connection-refused", "address-idle-closed",
        "address-refused"};
    return names.at(static_cast<std::size_t>(it));
}

bool held_memory::resize(std::size_t bytes)
{
    if (bytes <= m_bytes)
    {
        shrink(bytes);
        return true;
    }
    if (m_account && !m_account->take(m_bytes, bytes - m_bytes))
    {
        return false;
    }
    m_bytes = bytes;
    return true;
}

admission::memory_account::verdict held_memory::ask(std::size_t bytes)
{
    using verdict = admission::memory_account::verdict;
    if (!m_account || bytes <= m_bytes)
    {
        resize(bytes);
        return verdict::taken;
    }
    const std::size_t added = bytes - m_bytes;
    verdict it = m_account->ask(m_bytes, added);
    if (it == verdict::waits && !m_is_finishing)
    {
        m_is_finishing = m_account->begin_finish();
    }
    if (it == verdict::waits && m_is_finishing &&
        m_account->take_to_finish(added))
    {
        it = verdict::taken;
    }
    if (it == verdict::taken)
    {
        m_bytes = bytes;
    }
    return it;
}

void held_memory::end_finish()
{
    if (std::exchange(m_is_finishing, false))
    {
        m_account->end_finish();
    }
}

bool held_memory::refuses(std::size_t bytes) const
{
    return m_account && m_account->is_large(bytes) &&
           m_account->refuses_large();
}

void held_memory::shrink(std::size_t bytes)
{
    if (m_account && bytes < m_bytes)
    {
        m_account->give_back(m_bytes - bytes);
    }
    m_bytes = std::min(m_bytes, bytes);
}

} // namespace cicadahub::http
