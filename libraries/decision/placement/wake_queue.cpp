#include "decision/placement/wake_queue.hpp"

#include <algorithm>
#include <iterator>

namespace cicadahub::placement
{

void wake_queue::add(wake it)
{
    ++m_counts[it.model];
    const auto is_earlier = [](const wake& left, const wake& right)
    {
        return left.deadline < right.deadline;
    };
    const auto at =
        std::upper_bound(m_wakes.begin(), m_wakes.end(), it, is_earlier);
    m_wakes.insert(at, std::move(it));
}

template<class Predicate>
std::vector<wake> wake_queue::take_if(Predicate predicate)
{
    std::vector<wake> taken;
    const auto keep = [&](const wake& it)
    {
        return !predicate(it);
    };
    const auto middle =
        std::stable_partition(m_wakes.begin(), m_wakes.end(), keep);
    std::move(middle, m_wakes.end(), std::back_inserter(taken));
    m_wakes.erase(middle, m_wakes.end());
    for (const wake& it : taken)
    {
        const auto at = m_counts.find(it.model);
        if (--at->second == 0)
        {
            m_counts.erase(at);
        }
    }
    return taken;
}

std::vector<wake> wake_queue::take(const model_id& model)
{
    if (!has_wakes_for(model))
    {
        return {};
    }
    return take_if([&](const wake& it) { return it.model == model; });
}

std::vector<wake> wake_queue::take_expired(time_point now)
{
    if (m_wakes.empty() || m_wakes.front().deadline > now)
    {
        return {};
    }
    return take_if([&](const wake& it) { return it.deadline <= now; });
}

std::optional<wake> wake_queue::take_ticket(std::uint64_t ticket)
{
    auto taken = take_if([&](const wake& it) { return it.ticket == ticket; });
    if (taken.empty())
    {
        return std::nullopt;
    }
    return std::move(taken.front());
}

std::vector<model_id> wake_queue::models_by_deadline() const
{
    std::vector<model_id> models;
    std::set<model_id> seen;
    for (const wake& it : m_wakes)
    {
        if (seen.insert(it.model).second)
        {
            models.push_back(it.model);
        }
    }
    return models;
}

void wake_queue::clear()
{
    m_wakes.clear();
    m_counts.clear();
}

} // namespace cicadahub::placement
