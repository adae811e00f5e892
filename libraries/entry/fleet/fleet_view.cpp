#include "entry/fleet/fleet_view.hpp"

#include "core/structured_log.hpp"

#include <algorithm>

namespace cicadahub::entry
{

bool fleet_view::on_digest(const fleet::wire::Digest& it,
                           const http::endpoint& from, time_point now)
{
    const auto known = m_peers.find(it.sender);
    if (known != m_peers.end())
    {
        const auto& former = known->second.digest;
        if (std::pair(it.incarnation, it.number) <=
            std::pair(former.incarnation, former.number))
        {
            return false;
        }
        if (it.is_update && it.incarnation == former.incarnation)
        {
            merge(known->second.digest, it);
            known->second.gap = std::chrono::duration_cast<milliseconds>(
                now - known->second.received_at);
            known->second.received_at = now;
            if (it.__isset.work)
            {
                known->second.work_received_at = now;
            }
            return true;
        }
    }
    if (it.is_update)
    {
        return false;
    }
    if (known == m_peers.end())
    {
        log_event(severity::info, event_number::peer_connected,
                  {{"peer", it.sender}, {"address", http::to_string(from)}});
    }
    add_spent(known == m_peers.end() ? nullptr : &known->second.digest, it);
    m_silent.erase(it.sender);
    m_long_silent.erase(it.sender);
    const milliseconds gap = known == m_peers.end()
                                 ? silence_limit
                                 : std::chrono::duration_cast<milliseconds>(
                                       now - known->second.received_at);
    m_peers[it.sender] = {it, from, now, gap, now};
    return true;
}

void fleet_view::add_spent(const fleet::wire::Digest* former,
                           const fleet::wire::Digest& it)
{
    if (former == nullptr)
    {
        // The counter of a host that was not in contact is not added: without
        // contact the host was limited to its own share of the rate.
        return;
    }
    for (const auto& demand : it.demand)
    {
        std::int64_t before = 0;
        for (const auto& previous : former->demand)
        {
            if (previous.organisation == demand.organisation &&
                former->incarnation == it.incarnation)
            {
                before = previous.spent;
            }
        }
        m_spent_by_others[demand.organisation] +=
            std::max<std::int64_t>(0, demand.spent - before);
    }
}

std::int64_t
fleet_view::spent_by_others(const organisation_id& organisation) const
{
    const auto it = m_spent_by_others.find(organisation.value());
    return it == m_spent_by_others.end() ? 0 : it->second;
}

bool fleet_view::is_complete(time_point now) const
{
    return unseen_host_count(now, partition_limit) == 0 &&
           std::all_of(m_silent.begin(), m_silent.end(),
                       [](const auto& it)
                       { return it.second.digest.is_leaving; });
}

void fleet_view::merge(fleet::wire::Digest& known,
                       const fleet::wire::Digest& update)
{
    known.number = update.number;
    known.is_leaving = update.is_leaving;
    known.is_cut_off = update.is_cut_off;
    known.waits_for_record = update.waits_for_record;
    known.asks_for_contact = update.asks_for_contact;
    known.__isset.server_contact_age_ms = update.__isset.server_contact_age_ms;
    known.server_contact_age_ms = update.server_contact_age_ms;
    known.configuration_version = update.configuration_version;
    known.servers_changed_version = update.servers_changed_version;
    known.reaches_store = update.reaches_store;
    known.__isset.evacuations_version = update.__isset.evacuations_version;
    known.evacuations_version = update.evacuations_version;
    known.__isset.traffic_ms = update.__isset.traffic_ms;
    known.traffic_ms = update.traffic_ms;
    known.watches_store = update.watches_store;
    known.silent_hosts = update.silent_hosts;
    known.__isset.sent_at_ms = update.__isset.sent_at_ms;
    known.sent_at_ms = update.sent_at_ms;
    known.wants = update.wants;
    if (update.__isset.work)
    {
        known.work = update.work;
    }
    known.crashes = update.crashes;
    known.crashed_servers = update.crashed_servers;
    known.refused_parts = update.refused_parts;
    known.cleared_parts = update.cleared_parts;
    known.__isset.limited_servers = update.__isset.limited_servers;
    known.limited_servers = update.limited_servers;
    known.holdings = update.holdings;
    known.leaving_servers = update.leaving_servers;
    known.__isset.placement_epoch = update.__isset.placement_epoch;
    known.placement_epoch = update.placement_epoch;
    known.__isset.lease_version = update.__isset.lease_version;
    known.lease_version = update.lease_version;
}

void fleet_view::add_address(const http::endpoint& address, time_point now)
{
    m_known_addresses.emplace(address, now);
}

milliseconds fleet_view::digest_period() const
{
    return min_digest_period +
           digest_period_per_peer * static_cast<int>(m_peers.size());
}

std::vector<const peer*> fleet_view::watchers(time_point now) const
{
    std::vector<const peer*> found;
    for (const auto& [name, it] : m_peers)
    {
        if (it.digest.watches_store && now <= it.received_at + watcher_limit)
        {
            found.push_back(&it);
        }
    }
    return found;
}

std::vector<std::string> fleet_view::silent_reporters(time_point now) const
{
    std::vector<std::string> silent;
    for (const auto& [name, it] : m_peers)
    {
        const bool has_reported_often = it.gap <= 2 * beacon_period;
        if (has_reported_often && it.received_at + silence_limit < now)
        {
            silent.push_back(name);
        }
    }
    for (const auto& [name, it] : m_silent)
    {
        if (now < it.received_at + silence_limit + silence_notice)
        {
            silent.push_back(name);
        }
    }
    return silent;
}

bool fleet_view::is_silent(const std::string& name, const peer& it,
                           const std::vector<const peer*>& watchers,
                           time_point now) const
{
    const milliseconds longest =
        std::max(silence_limit, silent_periods * digest_period());
    if (it.received_at + longest < now)
    {
        return true;
    }
    if (it.received_at + silence_limit >= now)
    {
        return false;
    }
    const bool has_reported_often = it.gap <= 2 * beacon_period;
    const auto says_so = [&name](const peer* watcher)
    {
        const auto& silent = watcher->digest.silent_hosts;
        return std::find(silent.begin(), silent.end(), name) != silent.end();
    };
    // One watcher may only be cut off from the host itself.
    return watchers.empty()
               ? has_reported_often
               : std::all_of(watchers.begin(), watchers.end(), says_so);
}

bool fleet_view::drop_silent(time_point now)
{
    for (auto it = m_silent.begin(); it != m_silent.end();)
    {
        const bool is_leaving = it->second.digest.is_leaving;
        const auto limit = is_leaving ? leaving_limit : partition_limit;
        if (it->second.received_at + limit >= now)
        {
            ++it;
            continue;
        }
        if (!is_leaving)
        {
            m_long_silent[it->first] = std::move(it->second);
        }
        it = m_silent.erase(it);
    }
    std::erase_if(m_long_silent, [now](const auto& it)
                  { return it.second.received_at + part_retention < now; });
    bool has_dropped = false;
    const auto in_contact = watchers(now);
    for (auto it = m_peers.begin(); it != m_peers.end();)
    {
        if (!is_silent(it->first, it->second, in_contact, now))
        {
            ++it;
            continue;
        }
        log_event(severity::info, event_number::peer_lost,
                  {{"peer", it->first}});
        m_silent[it->first] = std::move(it->second);
        it = m_peers.erase(it);
        has_dropped = true;
    }
    return has_dropped;
}

std::size_t fleet_view::unseen_host_count(time_point now,
                                          milliseconds limit) const
{
    const auto is_known = [](const auto& peers, const http::endpoint& address)
    {
        return std::any_of(peers.begin(), peers.end(),
                           [&](const auto& it)
                           { return it.second.address == address; });
    };
    return static_cast<std::size_t>(std::count_if(
        m_known_addresses.begin(), m_known_addresses.end(),
        [&](const auto& it)
        {
            return it.second + limit >= now && !is_known(m_peers, it.first) &&
                   !is_known(m_silent, it.first) &&
                   !is_known(m_long_silent, it.first);
        }));
}

std::size_t fleet_view::host_count(time_point now) const
{
    return 1 + m_peers.size() + m_silent.size() +
           unseen_host_count(now, partition_limit);
}

std::size_t fleet_view::part_count(time_point now) const
{
    const bool is_known =
        m_are_members_known ||
        std::any_of(m_peers.begin(), m_peers.end(),
                    [](const auto& it) { return it.second.digest.hosts > 0; });
    return is_known
               ? 1 + m_peers.size() + m_silent.size() + m_long_silent.size() +
                     unseen_host_count(now, part_retention)
               : 0;
}

double fleet_view::own_part(time_point now)
{
    if (now < m_own_part_until)
    {
        return m_own_part;
    }
    std::size_t n = part_count(now);
    if (n == 0)
    {
        return 0;
    }
    for (const auto& [name, it] : m_peers)
    {
        n = std::max(n, static_cast<std::size_t>(std::max(0, it.digest.hosts)));
    }
    m_own_part = 1 / static_cast<double>(n);
    m_own_part_until = now + own_part_lifetime;
    return m_own_part;
}

const peer* fleet_view::placement_holder() const
{
    const peer* newest = nullptr;
    for (const auto& [name, it] : m_peers)
    {
        if (it.digest.__isset.placement_epoch &&
            (newest == nullptr ||
             it.digest.placement_epoch > newest->digest.placement_epoch))
        {
            newest = &it;
        }
    }
    return newest;
}

std::unordered_map<std::string, std::uint32_t>
fleet_view::running_by_server() const
{
    std::unordered_map<std::string, std::uint32_t> sum;
    for (const auto& [name, it] : m_peers)
    {
        if (it.digest.is_cut_off)
        {
            // It can't know which of its requests still run.
            continue;
        }
        for (const auto& work : it.digest.work)
        {
            sum[work.server] += static_cast<std::uint32_t>(work.running);
        }
    }
    return sum;
}

std::unordered_map<std::string, std::int64_t>
fleet_view::unread_by_server() const
{
    std::unordered_map<std::string, std::int64_t> sum;
    for (const auto& [name, it] : m_peers)
    {
        if (it.digest.is_cut_off)
        {
            continue;
        }
        for (const auto& work : it.digest.work)
        {
            if (work.__isset.unread_tokens && work.unread_tokens > 0)
            {
                sum[work.server] += work.unread_tokens;
            }
        }
    }
    return sum;
}

time_point fleet_view::work_received_at() const
{
    time_point latest{};
    for (const auto& [name, it] : m_peers)
    {
        if (it.digest.__isset.work)
        {
            latest = std::max(latest, it.work_received_at);
        }
    }
    return latest;
}

std::unordered_map<std::string, std::uint32_t>
fleet_view::running_elsewhere() const
{
    std::unordered_map<std::string, std::uint32_t> all;
    for (const auto& [name, it] : m_peers)
    {
        if (it.digest.is_cut_off)
        {
            continue;
        }
        // The holder's sums come behind its own requests, which are missing
        // for servers where it has none.
        const bool has_sums = it.digest.__isset.placement_epoch;
        std::unordered_map<std::string, std::uint32_t> first;
        for (const auto& work : it.digest.work)
        {
            const auto running = static_cast<std::uint32_t>(work.running);
            const auto [own, is_first] = first.emplace(work.server, running);
            if (has_sums != is_first)
            {
                all[work.server] += own->second;
            }
        }
    }
    return all;
}

double fleet_view::demand_of_others(const organisation_id& organisation,
                                    double own, time_point now) const
{
    double sum = 0;
    for (const auto* peers : {&m_peers, &m_silent})
    {
        for (const auto& [name, it] : *peers)
        {
            for (const auto& demand : it.digest.demand)
            {
                if (demand.organisation == organisation.value())
                {
                    sum += demand.per_second;
                }
            }
        }
    }
    const auto known_hosts =
        static_cast<double>(1 + m_peers.size() + m_silent.size());
    return sum +
           (sum + own) / known_hosts *
               static_cast<double>(unseen_host_count(now, partition_limit));
}

} // namespace cicadahub::entry
