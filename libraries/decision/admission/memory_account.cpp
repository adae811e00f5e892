#include "decision/admission/memory_account.hpp"

#include <utility>

namespace cicadahub::admission
{

namespace
{

constexpr std::size_t account_eighths = 5;
constexpr std::size_t reserve_part = 8;

} // namespace

memory_limits memory_limits_of(std::size_t host_bytes)
{
    memory_limits it;
    it.total = host_bytes / 8 * account_eighths;
    it.reserve = it.total / reserve_part;
    return it;
}

memory_account::verdict memory_account::ask(std::size_t held, std::size_t added)
{
    const bool becomes_large = is_large(held + added) && !is_large(held);
    if (becomes_large && refuses_large())
    {
        return verdict::refused;
    }
    if (take(held, added))
    {
        return verdict::taken;
    }
    return is_large(held) ? verdict::waits : verdict::refused;
}

bool memory_account::take(std::size_t held, std::size_t added)
{
    const std::size_t kept_free =
        is_large(held + added) ? m_limits.reserve + m_limits.finish_room + held
                               : 0;
    return take_within(added, kept_free);
}

bool memory_account::take_within(std::size_t added, std::size_t kept_free)
{
    if (m_used + added + kept_free > m_limits.total)
    {
        return false;
    }
    m_used += added;
    return true;
}

bool memory_account::begin_finish()
{
    return !std::exchange(m_has_finisher, true);
}

bool memory_account::take_to_finish(std::size_t added)
{
    return take_within(added, m_limits.reserve);
}

bool memory_account::take_for_response(std::size_t added)
{
    return take_within(added, 0);
}

bool memory_account::refuses_large() const
{
    return m_waiting > 0 || m_used + m_limits.reserve + m_limits.finish_room +
                                    m_limits.small_bytes >
                                m_limits.total;
}

} // namespace cicadahub::admission
