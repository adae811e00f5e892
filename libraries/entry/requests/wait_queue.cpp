#include "entry/requests/wait_queue.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>

namespace cicadahub::entry
{

wait_queue::waiter_pointer wait_queue::make_waiter() const
{
    return std::make_shared<waiter>(m_context);
}

net::awaitable<void> wait_queue::wait(waiter_pointer it, milliseconds limit)
{
    const auto comes_first = [](const waiter& a, const waiter& b)
    {
        return std::pair(a.priority, a.arrived) <
               std::pair(b.priority, b.arrived);
    };
    const auto place = std::find_if(m_waiters.begin(), m_waiters.end(),
                                    [&](const waiter_pointer& other)
                                    { return comes_first(*it, *other); });
    const auto position = m_waiters.insert(place, it);
    if (it->copy && m_on_change && !std::exchange(it->is_told, true))
    {
        m_on_change();
    }
    it->timer.expires_after(limit);
    co_await it->timer.async_wait(net::as_tuple(net::use_awaitable));
    m_waiters.erase(position);
}

void wait_queue::wake_all()
{
    for (const waiter_pointer& it : m_waiters)
    {
        it->timer.cancel();
    }
}

std::vector<replicas::pending_demand>
wait_queue::pending_demand(time_point now) const
{
    std::map<std::pair<replicas::copy_name, replicas::server_filter>,
             replicas::pending_demand>
        by_copy;
    for (const waiter_pointer& it : m_waiters)
    {
        if (!it->copy)
        {
            continue;
        }
        const auto slack =
            std::chrono::duration_cast<milliseconds>(it->deadline - now);
        auto& item = by_copy[{*it->copy, {it->version, it->regions}}];
        item.copy = *it->copy;
        item.version = it->version;
        item.regions = it->regions;
        item.slack = item.waiting == 0 ? slack : std::min(item.slack, slack);
        ++item.waiting;
    }
    std::vector<replicas::pending_demand> demand;
    demand.reserve(by_copy.size());
    for (auto& [wanted, item] : by_copy)
    {
        demand.push_back(std::move(item));
    }
    return demand;
}

} // namespace cicadahub::entry
