#include "decision/admission/connection_table.hpp"

#include <algorithm>

namespace cicadahub::admission
{

namespace
{

/// The platform reserves this many descriptors of `maxFds` for files.
constexpr std::size_t file_descriptors = 200;
/// Also a process with few descriptors takes some connections.
constexpr std::size_t fewest_descriptors = 64;
/// Probes and scrapes come on a few connections.
constexpr std::size_t readiness_connections = 16;
/// A running request has a connection to a server beside its caller's; idle
/// callers have none.
constexpr std::size_t caller_eighths = 5;
constexpr std::size_t peer_eighths = 1;
/// Callers behind one address may hold most of the connections, and others
/// still get some.
constexpr std::size_t address_quarters = 3;

} // namespace

descriptor_bounds descriptor_bounds_of(std::size_t descriptors)
{
    const std::size_t sockets =
        std::max(fewest_descriptors,
                 descriptors - std::min(descriptors, file_descriptors));
    const std::size_t callers = sockets * caller_eighths / 8;
    const std::size_t peers = sockets * peer_eighths / 8;
    return {{callers, callers * address_quarters / 4},
            {peers, peers},
            {readiness_connections, readiness_connections}};
}

connection_table::verdict connection_table::admit(const std::string& address,
                                                  std::function<void()> close)
{
    verdict it;
    const auto at = m_addresses.try_emplace(address).first;
    if (at->second.count >= m_bounds.per_address)
    {
        it.reached = bound::per_address;
    }
    else if (m_size >= m_bounds.all)
    {
        it.reached = bound::all;
    }
    const bool has_room =
        it.reached == bound::none ||
        (it.reached == bound::per_address ? close_oldest(at) : close_any());
    if (has_room)
    {
        auto& idle = at->second.idle;
        it.taken = idle.insert(idle.end(), {at, std::move(close)});
        ++at->second.count;
        ++m_size;
    }
    else if (at->second.count == 0 && at->second.busy.empty())
    {
        m_addresses.erase(at);
    }
    return it;
}

bool connection_table::close_oldest(address_map::iterator address)
{
    address_entry& entry = address->second;
    if (entry.idle.empty())
    {
        return false;
    }
    const handle oldest = entry.idle.begin();
    set_busy(oldest);
    oldest->is_closed = true;
    --entry.count;
    --m_size;
    oldest->close();
    return true;
}

bool connection_table::close_any()
{
    auto most = m_addresses.end();
    for (auto it = m_addresses.begin(); it != m_addresses.end(); ++it)
    {
        if (!it->second.idle.empty() && (most == m_addresses.end() ||
                                         it->second.count > most->second.count))
        {
            most = it;
        }
    }
    return most != m_addresses.end() && close_oldest(most);
}

void connection_table::set_idle(handle it)
{
    if (!it->is_idle && !it->is_closed)
    {
        address_entry& entry = it->address->second;
        entry.idle.splice(entry.idle.end(), entry.busy, it);
        it->is_idle = true;
    }
}

void connection_table::set_busy(handle it)
{
    if (it->is_idle)
    {
        address_entry& entry = it->address->second;
        entry.busy.splice(entry.busy.end(), entry.idle, it);
        it->is_idle = false;
    }
}

void connection_table::remove(handle it)
{
    const auto address = it->address;
    address_entry& entry = address->second;
    if (!it->is_closed)
    {
        --entry.count;
        --m_size;
    }
    (it->is_idle ? entry.idle : entry.busy).erase(it);
    if (entry.idle.empty() && entry.busy.empty())
    {
        m_addresses.erase(address);
    }
}

} // namespace cicadahub::admission
