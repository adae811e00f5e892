#include "fleet/datagram_queue.hpp"

#include <algorithm>
#include <utility>

namespace cicadahub::fleet
{

namespace
{

/// Datagrams of this time are sent at once, so that a host with many receivers
/// does not wake up for each of them.
constexpr std::chrono::duration<double> burst_time{0.02};
/// Urgent datagrams that have waited for longer than this are news no more.
constexpr std::chrono::duration<double> urgent_limit{1.0};
/// Headers of Ethernet, IPv4 and UDP.
constexpr double header_bytes = 42;

double size_on_link(const datagram& it)
{
    return static_cast<double>(it.bytes->size()) + header_bytes;
}

} // namespace

datagram_queue::datagram_queue(double bytes_per_second)
    : m_rate(bytes_per_second), m_burst(m_rate * burst_time.count()),
      m_tokens(m_burst)
{
}

void datagram_queue::push(datagram_kind kind, datagram it)
{
    const auto known = m_routine_by_receiver.find(it.to);
    if (kind == datagram_kind::routine)
    {
        if (known != m_routine_by_receiver.end())
        {
            m_routine.erase(known->second);
            m_routine_by_receiver.erase(known);
        }
        const auto& to = it.to;
        m_routine.push_back(it);
        m_routine_by_receiver.emplace(to, std::prev(m_routine.end()));
        return;
    }
    if (known != m_routine_by_receiver.end())
    {
        // Receivers ignore a digest that is older than the last one.
        push_urgent(std::move(*known->second));
        m_routine.erase(known->second);
        m_routine_by_receiver.erase(known);
    }
    push_urgent(std::move(it));
}

void datagram_queue::push_urgent(datagram it)
{
    m_urgent_bytes += it.bytes->size();
    m_urgent.push_back(std::move(it));
    const double limit = std::max(m_rate * urgent_limit.count(), m_burst);
    while (m_urgent.size() > 1 && static_cast<double>(m_urgent_bytes) > limit)
    {
        m_urgent_bytes -= m_urgent.front().bytes->size();
        m_urgent.pop_front();
        ++m_dropped;
    }
}

void datagram_queue::refill(time_point now)
{
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_refilled_at = now;
    m_tokens = std::min(m_burst, m_tokens + passed.count() * m_rate);
}

std::optional<datagram> datagram_queue::pop(time_point now)
{
    refill(now);
    if (is_empty() || m_tokens <= 0)
    {
        return std::nullopt;
    }
    datagram_list& from = m_urgent.empty() ? m_routine : m_urgent;
    datagram it = std::move(from.front());
    from.pop_front();
    if (&from == &m_urgent)
    {
        m_urgent_bytes -= it.bytes->size();
    }
    else
    {
        m_routine_by_receiver.erase(it.to);
    }
    // One larger than the burst leaves a debt, for which the next one waits.
    m_tokens -= size_on_link(it);
    return it;
}

milliseconds datagram_queue::time_to_next(time_point now) const
{
    const std::chrono::duration<double> passed = now - m_refilled_at;
    // Waits until half of a burst can be sent.
    const double lacking = m_burst / 2 - m_tokens - passed.count() * m_rate;
    const std::chrono::duration<double> wait(std::max(0.0, lacking / m_rate));
    return std::chrono::ceil<milliseconds>(wait);
}

std::size_t datagram_queue::take_dropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace cicadahub::fleet
