#include "caller/fares.hpp"

namespace cicadahub::caller
{

fare& fare::operator+=(const fare& other)
{
    served_in_target += other.served_in_target;
    served_late += other.served_late;
    failed += other.failed;
    tokens += other.tokens;
    for (std::size_t i = 0; i < refused.size(); ++i)
    {
        refused[i] += other.refused[i];
    }
    return *this;
}

void fare_table::count_served(const fare_key& key, bool is_in_target,
                              std::int64_t tokens)
{
    std::lock_guard lock(m_mutex);
    fare& it = m_fares[key];
    ++(is_in_target ? it.served_in_target : it.served_late);
    it.tokens += static_cast<std::uint64_t>(tokens);
}

void fare_table::count_refused(const fare_key& key, refusal_kind kind)
{
    std::lock_guard lock(m_mutex);
    ++m_fares[key].refused.at(static_cast<std::size_t>(kind));
}

void fare_table::count_failed(const fare_key& key)
{
    std::lock_guard lock(m_mutex);
    ++m_fares[key].failed;
}

void fare_table::add_to(fare_map& sum) const
{
    std::lock_guard lock(m_mutex);
    for (const auto& [key, it] : m_fares)
    {
        sum[key] += it;
    }
}

} // namespace cicadahub::caller
