#include "caller/request_counts.hpp"

namespace cicadahub::caller
{

request_counts& request_counts::operator+=(const request_counts& other)
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

void request_counter::count_served(const request_counts_key& key,
                                   bool is_in_target, std::int64_t tokens)
{
    std::lock_guard lock(m_mutex);
    request_counts& it = m_counts[key];
    ++(is_in_target ? it.served_in_target : it.served_late);
    it.tokens += static_cast<std::uint64_t>(tokens);
}

void request_counter::count_refused(const request_counts_key& key,
                                    refusal_kind kind)
{
    std::lock_guard lock(m_mutex);
    ++m_counts[key].refused.at(static_cast<std::size_t>(kind));
}

void request_counter::count_failed(const request_counts_key& key)
{
    std::lock_guard lock(m_mutex);
    ++m_counts[key].failed;
}

void request_counter::add_to(request_counts_map& sum) const
{
    std::lock_guard lock(m_mutex);
    for (const auto& [key, it] : m_counts)
    {
        sum[key] += it;
    }
}

} // namespace cicadahub::caller
