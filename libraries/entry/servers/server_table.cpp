#include "entry/servers/server_table.hpp"

#include "core/store_version.hpp"
#include "core/structured_log.hpp"

#include <algorithm>

namespace cicadahub::entry
{

namespace
{

/// A cold server gets one order or request for a report in this time, which the
/// bound on its requests leaves room for.
constexpr milliseconds cold_control_gap{1'000};

} // namespace

const serving::holdings& server_record::models() const
{
    static const serving::holdings none;
    if (!published || published->incarnation < entry.incarnation)
    {
        return entry.models;
    }
    // What a later incarnation holds is of no use before its entry is known:
    // its software version may be another one.
    return published->incarnation == entry.incarnation ? published->models
                                                       : none;
}

bool server_record::holds(const replicas::copy_name& copy) const
{
    const auto& held = models();
    const auto it = held.find(copy.model);
    return it != held.end() &&
           (!copy.adapter || it->second.contains(*copy.adapter));
}

bool server_record::accepts_requests(time_point now) const
{
    return !entry.is_leaving && !is_unverified && !is_evacuated &&
           !pause.is_active(now);
}

bool server_record::accepts_probes(time_point now) const
{
    return accepts_requests(now) && !limit.is_limited(now);
}

bool server_record::accepts_orders(time_point now) const
{
    const bool has_room_for_order =
        !limit.is_cold(now) ||
        (takes_orders_while_cold && last_control + cold_control_gap <= now);
    return accepts_requests(now) && !limit.is_named(now) && has_room_for_order;
}

void server_record::on_absent(const replicas::copy_name& copy)
{
    const auto forget = [&](serving::holdings& held)
    {
        const auto it = held.find(copy.model);
        if (it == held.end())
        {
            return;
        }
        if (copy.adapter && it->second.erase(*copy.adapter) > 0)
        {
            return;
        }
        held.erase(it);
    };
    forget(entry.models);
    if (published)
    {
        forget(published->models);
    }
}

bool server_table::apply(const platform::stored_object& it)
{
    const server_id id(it.name);
    m_seen_in_list.insert(id);
    if (it.is_deleted)
    {
        const auto known = m_records.find(id);
        if (known != m_records.end() &&
            known->second->entry.revision < it.version)
        {
            remove(id, it.version);
        }
        return true;
    }
    serving::server_entry entry;
    try
    {
        entry = m_documents.read_server(it);
    }
    catch (const malformed_document& reason)
    {
        log_event(severity::warning, event_number::malformed_object,
                  {{"collection", "servers"},
                   {"object", it.name},
                   {"version", revision_of(it.version)},
                   {"reason", reason.what()}});
        remove(id, it.version);
        return false;
    }
    const record_pointer listed = find(id);
    if (listed && listed->entry.revision > it.version)
    {
        // A newer version has already been received from a peer.
        return true;
    }
    const time_point now = monotonic_clock::now();
    if (is_outdated(entry, it.version, now))
    {
        // The list has been followed up to here, whatever is made of it.
        advance_changed_version(it.version);
        log_event(severity::warning, event_number::server_entry_outdated,
                  {{"server", id.value()},
                   {"incarnation", entry.incarnation},
                   {"listed", listed ? listed->entry.incarnation : 0},
                   {"era", era_of(it.version).value()},
                   {"version", revision_of(it.version)}});
        return true;
    }
    const bool is_new =
        !listed || listed->entry.incarnation != entry.incarnation;
    const record_pointer record = is_new ? take_record(entry, listed) : listed;
    record->last_seen = now;
    record->first_seen = record->first_seen.value_or(now);
    // A list shows the same version again.
    if (record->entry.revision < it.version)
    {
        record->cold.on_entry(entry.cold_left, now);
    }
    record->is_evacuated = m_evacuated.contains(entry.data_centre);
    // An incarnation that leaves never stays, whatever an entry says that was
    // written earlier.
    entry.is_leaving = entry.is_leaving || record->entry.is_leaving;
    if (is_new)
    {
        m_records[id] = record;
        log_event(severity::info, event_number::server_listed,
                  {{"server", id.value()},
                   {"service", entry.service.value()},
                   {"incarnation", entry.incarnation},
                   {"former", listed ? listed->entry.incarnation : 0},
                   {"is_leaving", entry.is_leaving},
                   {"era", era_of(it.version).value()},
                   {"version", revision_of(it.version)}});
    }
    if (is_new || entry.is_leaving != record->entry.is_leaving ||
        entry.address != record->entry.address)
    {
        advance_changed_version(it.version);
    }
    if (entry.is_leaving && !record->entry.is_leaving)
    {
        log_event(severity::info, event_number::server_leaving,
                  {{"server", id.value()},
                   {"seen_in", "list"},
                   {"incarnation", entry.incarnation},
                   {"era", era_of(it.version).value()},
                   {"version", revision_of(it.version)}});
    }
    record->entry = std::move(entry);
    return true;
}

bool server_table::is_outdated(const serving::server_entry& entry,
                               object_version version, time_point now) const
{
    const auto is_later_start = [&](const record_pointer& it)
    {
        // The copy that a store was restored from is older than the server.
        return it && it->entry.incarnation > entry.incarnation &&
               (era_of(version) > era_of(it->entry.revision) ||
                now < std::max(it->last_seen, it->last_contact) +
                          start_dispute_time);
    };
    const auto unlisted = m_unlisted.find(entry.id);
    return is_later_start(find(entry.id)) ||
           (unlisted != m_unlisted.end() &&
            is_later_start(unlisted->second.record));
}

void server_table::advance_changed_version(object_version version)
{
    m_changed_version = std::max(m_changed_version, version);
}

void server_table::remove(const server_id& id, object_version version)
{
    const auto known = m_records.find(id);
    if (known == m_records.end())
    {
        return;
    }
    const server_record& record = *known->second;
    log_event(
        severity::info, event_number::server_gone,
        {{"server", id.value()},
         {"incarnation", record.entry.incarnation},
         {"is_limited", record.limit.is_limited(monotonic_clock::now())}});
    keep_unlisted(std::move(known->second));
    m_records.erase(known);
    advance_changed_version(version);
}

void server_table::keep_unlisted(record_pointer record)
{
    // The holder of the placement lease may load and unload meanwhile.
    record->published.reset();
    if (m_unlisted.size() >= max_unlisted)
    {
        m_unlisted.erase(
            std::min_element(m_unlisted.begin(), m_unlisted.end(),
                             [](const auto& a, const auto& b)
                             { return a.second.since < b.second.since; }));
    }
    const server_id id = record->entry.id;
    m_unlisted[id] = {std::move(record), monotonic_clock::now()};
}

server_table::record_pointer
server_table::take_record(const serving::server_entry& entry,
                          const record_pointer& listed)
{
    record_pointer former = listed;
    const auto known = m_unlisted.find(entry.id);
    if (known != m_unlisted.end())
    {
        record_pointer unlisted = std::move(known->second.record);
        m_unlisted.erase(known);
        if (unlisted->entry.incarnation == entry.incarnation)
        {
            return unlisted;
        }
        former = listed ? listed : unlisted;
    }
    auto record = std::make_shared<server_record>();
    if (former && former->entry.is_leaving &&
        former->entry.address == entry.address)
    {
        record->is_unverified = true;
        m_unverified.push_back({record, monotonic_clock::now()});
    }
    return record;
}

void server_table::on_verified(const record_pointer& it)
{
    it->is_unverified = false;
    std::erase_if(m_unverified, [&](const unverified_start& known)
                  { return known.record == it; });
}

server_table::record_pointer
server_table::find_incarnation(const server_id& id, std::int64_t incarnation)
{
    const auto listed = find(id);
    if (listed && listed->entry.incarnation >= incarnation)
    {
        return listed->entry.incarnation == incarnation ? listed : nullptr;
    }
    const auto known = m_unlisted.find(id);
    if (known != m_unlisted.end() &&
        known->second.record->entry.incarnation >= incarnation)
    {
        return known->second.record->entry.incarnation == incarnation
                   ? known->second.record
                   : nullptr;
    }
    auto record = std::make_shared<server_record>();
    record->entry.id = id;
    record->entry.incarnation = incarnation;
    record->last_seen = monotonic_clock::now();
    keep_unlisted(record);
    return record;
}

void server_table::forget_unlisted(time_point now)
{
    std::erase_if(m_unlisted, [now](const auto& it)
                  { return it.second.since + unlisted_retention < now; });
}

void server_table::end_of_list(bool is_full_list, object_version version)
{
    if (is_full_list)
    {
        std::vector<server_id> gone;
        for (const auto& [id, record] : m_records)
        {
            // A server newer than the list may have been added by a watch or a
            // peer while the list was fetched.
            if (!m_seen_in_list.contains(id) &&
                record->entry.revision <= version)
            {
                gone.push_back(id);
            }
        }
        for (const server_id& it : gone)
        {
            remove(it, version);
        }
    }
    m_seen_in_list.clear();
}

bool server_table::on_leaving(const server_id& server, std::int64_t incarnation,
                              std::string_view source, bool is_told_to_all)
{
    const auto record = find_incarnation(server, incarnation);
    if (!record || record->has_announced_leaving)
    {
        return false;
    }
    record->has_announced_leaving = true;
    record->is_leave_told_by_watcher = is_told_to_all;
    if (!record->entry.is_leaving)
    {
        record->entry.is_leaving = true;
        log_event(severity::info, event_number::server_leaving,
                  {{"server", server.value()},
                   {"seen_in", source},
                   {"incarnation", incarnation}});
    }
    const record_pointer listed = find(server);
    if (listed && listed != record)
    {
        // The entry of a start before this one is not up to date.
        listed->entry.is_leaving = true;
    }
    return record == listed;
}

void server_table::on_published(const server_id& server,
                                published_holdings holdings)
{
    if (const auto record = find(server))
    {
        record->published = std::move(holdings);
    }
}

void server_table::set_running_elsewhere(
    const std::unordered_map<std::string, std::uint32_t>& running,
    bool is_without_own)
{
    for (const auto& [id, record] : m_records)
    {
        const auto it = running.find(id.value());
        const std::uint32_t reported = it == running.end() ? 0 : it->second;
        const std::uint32_t own = is_without_own ? 0 : record->running;
        record->running_elsewhere = reported - std::min(reported, own);
    }
}

void server_table::set_unread_elsewhere(
    const std::unordered_map<std::string, std::int64_t>& tokens,
    bool is_without_own, time_point reported_at, time_point now)
{
    for (const auto& [id, record] : m_records)
    {
        const auto it = tokens.find(id.value());
        const std::int64_t reported = it == tokens.end() ? 0 : it->second;
        const std::int64_t own = is_without_own ? 0 : record->unread.own(now);
        record->unread.on_report(reported - std::min(reported, own),
                                 reported_at, now);
    }
}

void server_table::update_ranks()
{
    std::map<service_id, std::vector<std::pair<std::size_t, record_pointer>>>
        by_service;
    for (const auto& [id, record] : m_records)
    {
        if (!record->entry.is_leaving)
        {
            by_service[record->entry.service].emplace_back(
                std::hash<std::string>{}(id.value()), record);
        }
    }
    for (auto& [service, servers] : by_service)
    {
        std::sort(servers.begin(), servers.end(),
                  [](const auto& a, const auto& b)
                  { return a.first < b.first; });
        for (std::size_t n = 0; n < servers.size(); ++n)
        {
            servers[n].second->rank = {n, servers.size()};
        }
    }
}

void server_table::forget_published()
{
    for (const auto& [id, record] : m_records)
    {
        record->published.reset();
    }
}

void server_table::set_evacuated(std::set<data_centre_id> data_centres)
{
    m_evacuated = std::move(data_centres);
    for (const auto& [id, record] : m_records)
    {
        record->is_evacuated = m_evacuated.contains(record->entry.data_centre);
    }
}

bool server_table::has_server_of(const service_id& service) const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [&](const auto& it)
                       { return it.second->entry.service == service; });
}

server_table::record_pointer server_table::find(const server_id& id) const
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : it->second;
}

running_guard::running_guard(server_table::record_pointer record,
                             std::optional<model_id> model)
    : m_record(std::move(record)), m_model(std::move(model))
{
    ++m_record->running;
    if (m_model)
    {
        ++m_record->running_models[*m_model];
    }
}

running_guard::~running_guard()
{
    --m_record->running;
    if (m_model && --m_record->running_models[*m_model] == 0)
    {
        m_record->running_models.erase(*m_model);
    }
}

} // namespace cicadahub::entry
