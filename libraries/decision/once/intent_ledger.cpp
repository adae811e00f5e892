#include "decision/once/intent_ledger.hpp"

#include "core/invariant.hpp"
#include "core/refusal.hpp"

#include <algorithm>

namespace cicadahub::once
{

action_list intent_ledger::on_adopted(const ledger_document& content,
                                      epoch_number epoch, time_point now)
{
    m_is_owner = true;
    m_epoch = epoch;
    m_entries.clear();
    m_write_in_flight.reset();
    for (const auto& [key, it] : content.intents)
    {
        entry& added = m_entries[key];
        added.record = it;
        added.is_written = true;
        added.opened_at = now;
        added.expires_at = now + it.kept_for;
    }
    // Write the new epoch before permission is granted for a new intent under
    // it. This makes every later write of a former owner fail.
    m_is_dirty = true;
    action_list actions;
    write_if_due(now, actions);
    return actions;
}

action_list intent_ledger::on_lost()
{
    action_list actions;
    for (const auto& [key, it] : m_entries)
    {
        for (const pending_request& each : it.waiting)
        {
            actions.push_back(reply_action{
                each.ticket, {dispatch_verdict::not_written, std::nullopt}});
        }
    }
    m_is_owner = false;
    m_entries.clear();
    m_write_in_flight.reset();
    m_keys_in_write.clear();
    m_is_dirty = false;
    return actions;
}

dispatch_decision intent_ledger::verdict_for(const entry& it,
                                             const attempt_id& attempt) const
{
    switch (it.record.state)
    {
    case intent_state::answered:
        // An attempt that was answered had dispatched the request, so that a
        // stored promise of the opposite cannot be replayed.
        if (!it.record.answer || promises_not_run(it.record.answer->status))
        {
            return {dispatch_verdict::outcome_unknown, std::nullopt};
        }
        return {dispatch_verdict::answered, it.record.answer};
    case intent_state::outcome_unknown:
        return {dispatch_verdict::outcome_unknown, std::nullopt};
    case intent_state::open:
        break;
    }
    // An attempt repeats its request only if the reply was lost, so it has not
    // dispatched yet.
    const bool is_same = it.record.attempt == attempt;
    return {is_same ? dispatch_verdict::may_dispatch
                    : dispatch_verdict::running,
            std::nullopt};
}

action_list intent_ledger::on_dispatch_request(std::uint64_t ticket,
                                               const intent_key& key,
                                               const fingerprint& request,
                                               const attempt_id& attempt,
                                               time_point now)
{
    action_list actions;
    if (!m_is_owner)
    {
        actions.push_back(reply_action{
            ticket, {dispatch_verdict::not_written, std::nullopt}});
        return actions;
    }
    const auto [at, is_new] = m_entries.try_emplace(key);
    entry& it = at->second;
    if (is_new)
    {
        it.record.request = request;
        it.record.attempt = attempt;
        it.opened_at = now;
        it.expires_at = now + m_timing.kept_for;
        m_is_dirty = true;
    }
    else if (it.record.request != request)
    {
        actions.push_back(reply_action{
            ticket, {dispatch_verdict::other_request, std::nullopt}});
        return actions;
    }
    if (it.is_written)
    {
        actions.push_back(reply_action{ticket, verdict_for(it, attempt)});
        return actions;
    }
    it.waiting.push_back({ticket, attempt});
    write_if_due(now, actions);
    return actions;
}

action_list intent_ledger::on_outcome(const intent_key& key,
                                      const attempt_id& attempt,
                                      std::optional<saved_answer> answer,
                                      bool is_not_run, time_point now)
{
    action_list actions;
    const auto at = m_entries.find(key);
    if (!m_is_owner || at == m_entries.end() ||
        at->second.record.attempt != attempt ||
        at->second.record.state == intent_state::answered)
    {
        return actions;
    }
    entry& it = at->second;
    if (is_not_run)
    {
        // The request has not run, so another attempt may dispatch it.
        m_entries.erase(at);
    }
    else if (answer)
    {
        it.record.state = intent_state::answered;
        it.record.answer = std::move(answer);
    }
    else
    {
        it.record.state = intent_state::outcome_unknown;
    }
    m_is_dirty = true;
    write_if_due(now, actions);
    return actions;
}

action_list intent_ledger::on_committed(std::uint64_t sequence, time_point now)
{
    action_list actions;
    if (m_write_in_flight != sequence)
    {
        return actions;
    }
    m_write_in_flight.reset();
    for (const intent_key& key : m_keys_in_write)
    {
        const auto at = m_entries.find(key);
        if (at == m_entries.end())
        {
            continue;
        }
        at->second.is_written = true;
        for (const pending_request& each :
             std::exchange(at->second.waiting, {}))
        {
            actions.push_back(reply_action{
                each.ticket, verdict_for(at->second, each.attempt)});
        }
    }
    m_keys_in_write.clear();
    write_if_due(now, actions);
    return actions;
}

action_list intent_ledger::on_tick(time_point now)
{
    action_list actions;
    if (!m_is_owner)
    {
        return actions;
    }
    expire_running(now);
    drop_expired(now);
    write_if_due(now, actions);
    return actions;
}

void intent_ledger::expire_running(time_point now)
{
    for (auto& [key, it] : m_entries)
    {
        if (it.is_written && it.record.state == intent_state::open &&
            now >= it.opened_at + m_timing.running_limit)
        {
            it.record.state = intent_state::outcome_unknown;
            m_is_dirty = true;
        }
    }
}

void intent_ledger::drop_expired(time_point now)
{
    const std::size_t n = std::erase_if(
        m_entries, [&](const auto& it)
        { return it.second.is_written && now >= it.second.expires_at; });
    m_is_dirty = m_is_dirty || n > 0;
}

void intent_ledger::write_if_due(time_point now, action_list& actions)
{
    if (!m_is_dirty || m_write_in_flight)
    {
        return;
    }
    m_is_dirty = false;
    m_write_in_flight = ++m_sequence;
    ledger_document content;
    content.epoch = m_epoch;
    for (auto& [key, it] : m_entries)
    {
        intent written = it.record;
        written.kept_for = std::chrono::ceil<milliseconds>(
            std::max(it.expires_at - now, monotonic_clock::duration(0)));
        content.intents.emplace(key, std::move(written));
        if (!it.is_written)
        {
            m_keys_in_write.push_back(key);
        }
    }
    actions.push_back(write_action{std::move(content), m_sequence});
}

} // namespace cicadahub::once
