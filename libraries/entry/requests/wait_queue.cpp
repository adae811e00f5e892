#include "entry/requests/wait_queue.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace cicadahub::entry
{

namespace
{

bool comes_first(const waiter& a, const waiter& b)
{
    return std::pair(a.priority, a.arrived) < std::pair(b.priority, b.arrived);
}

} // namespace

wait_queue::waiter_pointer wait_queue::make_waiter() const
{
    return std::make_shared<waiter>(m_context);
}

net::awaitable<void> wait_queue::wait(waiter_pointer it, milliseconds limit)
{
    co_await sleep(std::move(it), limit, true);
}

net::awaitable<void> wait_queue::let_others_pass(waiter_pointer it)
{
    // Those that are woken run before a timer that is set later.
    constexpr milliseconds pass_time{1};
    wake_first();
    co_await sleep(std::move(it), pass_time, false);
}

net::awaitable<void> wait_queue::sleep(waiter_pointer it, milliseconds limit,
                                       bool tells)
{
    const auto place = std::find_if(m_waiters.begin(), m_waiters.end(),
                                    [&](const waiter_pointer& other)
                                    { return comes_first(*it, *other); });
    const auto position = m_waiters.insert(place, it);
    if (tells && it->copy && m_on_change && !std::exchange(it->is_told, true))
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
        if (it->control == nullptr)
        {
            it->timer.cancel();
        }
    }
    wake_first();
}

void wait_queue::wake_first()
{
    const time_point now = monotonic_clock::now();
    using group = std::tuple<service_id, std::optional<replicas::copy_name>,
                             std::optional<software_version>, bool>;
    using ranked = std::pair<admission::wait_rank, waiter*>;
    std::map<group, ranked> first_of;
    for (const waiter_pointer& it : m_waiters)
    {
        if (it->control == nullptr)
        {
            continue;
        }
        const auto rank = it->control->rank_of(it->request, now);
        const bool leaves_slots =
            it->control->leaves_last_slots(it->request, now);
        const auto [known, is_first] = first_of.try_emplace(
            {it->service, it->copy, it->version, leaves_slots}, rank, it.get());
        if (!is_first && rank < known->second.first)
        {
            known->second = {rank, it.get()};
        }
    }
    std::vector<ranked> order;
    order.reserve(first_of.size());
    for (const auto& [name, it] : first_of)
    {
        order.push_back(it);
    }
    std::sort(order.begin(), order.end(),
              [](const ranked& a, const ranked& b)
              { return a.first < b.first; });
    for (const auto& [rank, it] : order)
    {
        it->timer.cancel();
    }
}

std::size_t wait_queue::count_ahead(
    const waiter& it, const std::function<bool(const waiter&)>& competes) const
{
    const time_point now = monotonic_clock::now();
    const auto rank = it.control == nullptr
                          ? admission::wait_rank{}
                          : it.control->rank_of(it.request, now);
    const auto is_ahead = [&](const waiter_pointer& other)
    {
        if (other.get() == &it || other->control != it.control ||
            !competes(*other))
        {
            return false;
        }
        return it.control == nullptr
                   ? comes_first(*other, it)
                   : other->control->rank_of(other->request, now) < rank;
    };
    return static_cast<std::size_t>(
        std::count_if(m_waiters.begin(), m_waiters.end(), is_ahead));
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
