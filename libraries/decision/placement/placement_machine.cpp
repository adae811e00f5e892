#include "decision/placement/placement_machine.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace cicadahub::placement
{

namespace
{

/// A fencing token holds the epoch in its upper half and the server's
/// `fence_step` in its lower half.
constexpr unsigned fence_step_bits = 32;

/// The newest load enters the moving average with the weight
/// 1 / `estimate_weight`.
constexpr int estimate_weight = 4;

constexpr milliseconds shortest_retry_hint{100};

/// Once this many models wait for memory or for the weight store, the rest of
/// the queue is left for a later step.
constexpr std::uint32_t blocked_limit = 16;

} // namespace

placement_machine::placement_machine(load_limits limits,
                                     placement_timing timing)
    : m_timing(timing), m_budget(limits)
{
}

action_list placement_machine::on_adopted(const document& content,
                                          epoch_number epoch, time_point now)
{
    on_lost();
    m_is_owner = true;
    m_epoch = epoch;
    m_next_generation = content.next_generation;
    m_budget.restart(now);
    for (const replica& it : content.replicas)
    {
        replica_record& record = m_replicas.add(it);
        record.committed = it.state;
        record.last_used = now;
        // A load order of a former owner may still be in flight. A replica in
        // state `loading` may have been ordered after the document was
        // written, so the full transit time applies; for the others the
        // document holds the remaining time.
        const bool may_be_ordered = it.state == replica_state::loading;
        record.late_order_until =
            now + (may_be_ordered ? m_timing.order_lifetime : it.unsettled);
    }
    // Write the new epoch before the first order under it. From then on a
    // write of the former owner that is still in flight fails.
    m_has_written = false;
    m_is_dirty = true;
    return step(now);
}

void placement_machine::on_lost()
{
    m_is_owner = false;
    m_replicas.clear();
    m_wakes.clear();
    m_demand.clear();
    m_reserved.clear();
    m_is_dirty = false;
    m_commit_in_flight.reset();
    m_commit_states.clear();
    m_failures.clear();
}

action_list
placement_machine::on_servers(const std::vector<server_spec>& servers,
                              time_point now)
{
    std::map<server_id, server_entry> next;
    for (const server_spec& spec : servers)
    {
        const auto at = m_servers.find(spec.id);
        server_entry entry =
            at == m_servers.end() ? server_entry{} : at->second;
        entry.spec = spec;
        next.emplace(spec.id, std::move(entry));
    }
    m_servers = std::move(next);
    m_leaving.clear();
    for (const server_spec& spec : servers)
    {
        if (spec.is_leaving)
        {
            m_leaving.push_back(spec.id);
        }
    }
    std::vector<generation_number> removed;
    for (const auto& [generation, record] : m_replicas.records())
    {
        if (!m_servers.contains(record.decided.server))
        {
            removed.push_back(generation);
        }
    }
    for (const generation_number generation : removed)
    {
        // The platform reports that the host no longer exists, so its memory
        // need not be tracked.
        m_replicas.remove(generation);
        m_is_dirty = true;
    }
    return step(now);
}

void placement_machine::on_items(const std::vector<item_spec>& items)
{
    m_items.clear();
    for (const item_spec& it : items)
    {
        m_items.emplace(it.id, it);
    }
}

action_list placement_machine::on_wake(wake it, time_point now)
{
    action_list actions;
    replica_record* record = find_serving_replica(it.model);
    if (record != nullptr && record->decided.state == replica_state::loaded)
    {
        record->last_used = now;
        actions.push_back(answer_action{it.ticket, record->decided});
        return actions;
    }
    if (!m_items.contains(it.model))
    {
        refuse(it, refusal_kind::unknown_model, actions);
        return actions;
    }
    m_wakes.add(std::move(it));
    return step(now);
}

void placement_machine::on_wake_cancelled(std::uint64_t ticket)
{
    m_wakes.take_ticket(ticket);
}

void placement_machine::on_used(const model_id& model, std::uint32_t in_use,
                                time_point now)
{
    for (const generation_number generation : m_replicas.of_model(model))
    {
        replica_record& record = *m_replicas.find(generation);
        record.last_used = now;
        record.in_use = in_use;
    }
}

action_list placement_machine::on_committed(std::uint64_t sequence,
                                            time_point now)
{
    if (m_commit_in_flight != sequence)
    {
        return {};
    }
    m_commit_in_flight.reset();
    m_has_written = true;
    for (const auto& [generation, state] : m_commit_states)
    {
        if (replica_record* record = m_replicas.find(generation))
        {
            record->committed = state;
        }
    }
    m_commit_states.clear();
    return step(now);
}

action_list placement_machine::on_order_result(generation_number generation,
                                               order_kind kind,
                                               order_result result,
                                               time_point now)
{
    action_list actions;
    replica_record* record = m_replicas.find(generation);
    if (record == nullptr)
    {
        return actions;
    }
    record->has_order_in_flight = false;
    record->has_load_in_flight = false;
    record->retry_at = now + m_timing.order_retry;
    if (result == order_result::unknown && kind == order_kind::load)
    {
        note_late_order(*record, now);
    }
    const auto server = m_servers.find(record->decided.server);
    if (result == order_result::unknown && server != m_servers.end())
    {
        ++server->second.fence_step;
    }
    if (kind == order_kind::load && result == order_result::done &&
        record->decided.state == replica_state::loading)
    {
        on_load_done(*record, now, actions);
    }
    if (kind == order_kind::load && result == order_result::failed &&
        record->decided.state == replica_state::loading)
    {
        on_load_failed(*record, actions);
    }
    if (kind == order_kind::unload && result == order_result::done)
    {
        drop_unloaded(*record, now);
    }
    action_list more = step(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

action_list placement_machine::on_report(const server_id& server,
                                         const server_report& report,
                                         time_point now)
{
    const auto at = m_servers.find(server);
    if (at == m_servers.end() || !m_is_owner)
    {
        return {};
    }
    at->second.report = report;
    at->second.is_reachable = true;
    action_list actions;
    for (const generation_number generation : m_replicas.on_server(server))
    {
        replica_record& record = *m_replicas.find(generation);
        const bool is_present = report.loaded.contains(record.decided.model);
        const bool is_loading = report.loading.contains(record.decided.model);
        if (record.decided.state == replica_state::loading && is_present &&
            record.committed && !record.has_order_in_flight)
        {
            on_load_done(record, now, actions);
        }
        else if (record.decided.state == replica_state::loaded && !is_present &&
                 !is_loading &&
                 now > record.loaded_at + m_timing.max_report_age)
        {
            // The server lost the replica, for example in a restart. Unload it
            // nevertheless, in case the report is wrong.
            mark_unloading(record);
        }
    }
    adopt_orphaned_replicas(server, report);
    action_list more = step(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

action_list placement_machine::on_server_unreachable(const server_id& server,
                                                     time_point now)
{
    const auto at = m_servers.find(server);
    if (at == m_servers.end())
    {
        return {};
    }
    at->second.is_reachable = false;
    return step(now);
}

action_list placement_machine::on_tick(time_point now)
{
    return step(now);
}

action_list placement_machine::step(time_point now)
{
    action_list actions;
    if (!m_is_owner)
    {
        return actions;
    }
    expire_wakes(now, actions);
    drain_leaving_servers(now);
    place_wakes(now, actions);
    emit_orders(now, actions);
    emit_commit(now, actions);
    return actions;
}

void placement_machine::expire_wakes(time_point now, action_list& actions)
{
    for (const wake& it : m_wakes.take_expired(now))
    {
        refuse(it, refusal_kind::target_unreachable, actions);
        m_demand[it.model] = now + m_timing.demand_lifetime;
    }
    std::erase_if(m_demand, [&](const auto& it) { return it.second <= now; });
}

void placement_machine::place_wakes(time_point now, action_list& actions)
{
    m_reserved.clear();
    std::vector<model_id> models = m_wakes.models_by_deadline();
    for (const auto& [model, until] : m_demand)
    {
        if (!m_wakes.has_wakes_for(model))
        {
            models.push_back(model);
        }
    }
    std::uint32_t blocked = 0;
    for (const model_id& model : models)
    {
        if (blocked >= blocked_limit)
        {
            break;
        }
        const placement_outcome outcome = place(model, now);
        blocked += outcome == placement_outcome::waits_for_memory ||
                   outcome == placement_outcome::waits_for_budget;
        if (outcome == placement_outcome::impossible)
        {
            for (const wake& it : m_wakes.take(model))
            {
                refuse(it, refusal_kind::no_capacity, actions);
            }
            m_demand.erase(model);
        }
    }
}

void placement_machine::mark_unloading(replica_record& record)
{
    m_replicas.set_state(record, replica_state::unloading);
    record.retry_at = {};
    m_is_dirty = true;
    for (const generation_number it : m_replicas.adapters_of(record.decided))
    {
        mark_unloading(*m_replicas.find(it));
    }
}

void placement_machine::emit_orders(time_point now, action_list& actions)
{
    if (!m_has_written)
    {
        return;
    }
    for (const generation_number generation : m_replicas.pending())
    {
        replica_record& record = *m_replicas.find(generation);
        if (is_order_due(record, now))
        {
            actions.push_back(make_order(record, now));
        }
    }
}

bool placement_machine::is_order_due(const replica_record& record,
                                     time_point now) const
{
    if (record.has_order_in_flight || now < record.retry_at ||
        !m_servers.contains(record.decided.server) ||
        record.committed != record.decided.state ||
        record.decided.state == replica_state::loaded)
    {
        return false;
    }
    return record.decided.state == replica_state::loading ||
           m_replicas.adapters_of(record.decided).empty();
}

order_action placement_machine::make_order(replica_record& record,
                                           time_point now)
{
    record.has_order_in_flight = true;
    record.has_load_in_flight = record.decided.state == replica_state::loading;
    record.ordered_at = now;
    order_action order;
    order.kind = record.decided.state == replica_state::loading
                     ? order_kind::load
                     : order_kind::unload;
    order.target = record.decided;
    const std::uint64_t step = m_servers.at(record.decided.server).fence_step;
    order.fence = epoch_number((m_epoch.value() << fence_step_bits) | step);
    return order;
}

bool placement_machine::has_late_order_pending(time_point now) const
{
    const auto& pending = m_replicas.pending();
    return std::any_of(
        pending.begin(), pending.end(),
        [&](generation_number it)
        {
            const replica_record& record = m_replicas.records().at(it);
            return record.decided.state == replica_state::unloading &&
                   record.late_order_until > now;
        });
}

void placement_machine::emit_commit(time_point now, action_list& actions)
{
    if (m_commit_in_flight)
    {
        return;
    }
    const bool is_unsettled_write_due =
        now >= m_written_at + m_timing.unsettled_write_interval &&
        has_late_order_pending(now);
    if (!m_is_dirty && !is_unsettled_write_due)
    {
        return;
    }
    m_is_dirty = false;
    m_written_at = now;
    m_commit_in_flight = ++m_sequence;
    document content;
    content.epoch = m_epoch;
    content.next_generation = m_next_generation;
    for (const auto& [generation, record] : m_replicas.records())
    {
        content.replicas.push_back(record.decided);
        // Persist how long a load order may still arrive, so that the next
        // owner waits for it too.
        const time_point until = unsettled_until(record);
        content.replicas.back().unsettled = std::chrono::ceil<milliseconds>(
            std::max(until - now, monotonic_clock::duration(0)));
        m_commit_states[generation] = record.decided.state;
    }
    actions.push_back(commit_action{std::move(content), m_sequence});
}

time_point
placement_machine::unsettled_until(const replica_record& record) const
{
    if (!record.has_load_in_flight)
    {
        return record.late_order_until;
    }
    return std::max(record.late_order_until,
                    record.ordered_at + m_timing.order_lifetime);
}

void placement_machine::answer_wakes(const replica& it, action_list& actions)
{
    for (const wake& waiting : m_wakes.take(it.model))
    {
        actions.push_back(answer_action{waiting.ticket, it});
    }
}

void placement_machine::refuse(const wake& it, refusal_kind kind,
                               action_list& actions)
{
    refusal reason{kind, true, retry_hint()};
    if (kind == refusal_kind::unknown_model)
    {
        reason.retry_after = milliseconds(0);
    }
    actions.push_back(answer_action{it.ticket, reason});
}

void placement_machine::on_load_failed(replica_record& record,
                                       action_list& actions)
{
    const model_id model = record.decided.model;
    mark_unloading(record);
    if (++m_failures[model] < m_timing.failure_limit)
    {
        return;
    }
    m_failures.erase(model);
    m_demand.erase(model);
    for (const wake& it : m_wakes.take(model))
    {
        refuse(it, refusal_kind::load_failed, actions);
    }
}

void placement_machine::on_load_done(replica_record& record, time_point now,
                                     action_list& actions)
{
    m_replicas.set_state(record, replica_state::loaded);
    record.last_used = now;
    record.loaded_at = now;
    m_failures.erase(record.decided.model);
    answer_wakes(record.decided, actions);
    m_is_dirty = true;
    if (record.ordered_at != time_point{})
    {
        const auto took =
            std::chrono::duration_cast<milliseconds>(now - record.ordered_at);
        m_load_estimate += (took - m_load_estimate) / estimate_weight;
    }
}

void placement_machine::note_late_order(replica_record& record, time_point now)
{
    record.late_order_until = now + m_timing.order_lifetime;
    m_is_dirty = true;
}

void placement_machine::drop_unloaded(replica_record& record, time_point now)
{
    if (record.decided.state != replica_state::unloading)
    {
        return;
    }
    const auto server = m_servers.find(record.decided.server);
    const bool is_fencing =
        server != m_servers.end() && server->second.spec.is_fencing;
    if (!is_fencing && now < record.late_order_until)
    {
        // A late load order would load the replica again. Keep the memory
        // reserved until no such order can arrive, then unload once more.
        record.retry_at = record.late_order_until;
        return;
    }
    m_replicas.remove(record.decided.generation);
    m_is_dirty = true;
}

void placement_machine::adopt_orphaned_replicas(const server_id& server,
                                                const server_report& report)
{
    for (const model_id& model : report.loaded)
    {
        if (m_replicas.find(model, server) != nullptr)
        {
            continue;
        }
        const auto item = m_items.find(model);
        replica it;
        it.generation = generation_number(m_next_generation++);
        it.model = model;
        it.server = server;
        it.bytes = item == m_items.end() ? byte_count(0) : item->second.bytes;
        it.state = replica_state::unloading;
        it.decided_in = m_epoch;
        m_replicas.add(std::move(it));
        m_is_dirty = true;
    }
}

milliseconds placement_machine::retry_hint() const
{
    return std::max(m_load_estimate, shortest_retry_hint);
}

} // namespace cicadahub::placement
