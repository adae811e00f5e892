#include "entry/requests/active_request.hpp"

#include "core/structured_log.hpp"

namespace cicadahub::entry
{

namespace
{

/// A queued request looks for a server again after this long even if nothing
/// has woken it.
constexpr milliseconds max_recheck_interval{250};
/// Added to the load time for the order, the report of its completion and the
/// network latency to the server.
constexpr milliseconds load_overhead{300};

} // namespace

bool active_request::has_origin(const serving::server_entry& server) const
{
    return !m_origin || (server.service == m_origin->service &&
                         server.version == m_origin->version);
}

bool active_request::is_origin_listed() const
{
    const auto& records = m_state.servers.records();
    return std::any_of(records.begin(), records.end(),
                       [this](const auto& it)
                       {
                           const serving::server_entry& entry =
                               it.second->entry;
                           return !entry.is_leaving && has_origin(entry);
                       });
}

milliseconds active_request::time_left(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now);
}

active_request::server_pick active_request::pick_server() const
{
    const work_meter::scope metered(m_state.work, duty::server_choice);
    const time_point now = monotonic_clock::now();
    std::vector<server_table::record_pointer> records;
    std::vector<routing::choice_candidate> candidates;
    server_pick result;
    const routing::prefill_budget* budget =
        m_copy ? m_state.prefill_budget_of(m_service->name) : nullptr;
    if (budget != nullptr)
    {
        m_state.update_server_ranks(now);
    }
    bool is_any_unpaused = false;
    bool is_any_unlimited = false;
    for (const auto& [id, record] : m_state.servers.records())
    {
        const auto& entry = record->entry;
        if (entry.service != m_service->name || entry.is_leaving ||
            !has_origin(entry) || (m_copy && !record->holds(*m_copy)))
        {
            continue;
        }
        result.has_eligible_server = true;
        if (record->is_unverified)
        {
            continue;
        }
        if (record->pause.is_active(now))
        {
            const milliseconds left = record->pause.left(now);
            result.pause_left =
                std::min(left, result.pause_left.value_or(left));
            continue;
        }
        is_any_unpaused = true;
        if (record->limit.is_limited(now))
        {
            const auto wait = wait_for_limit(*record, now);
            if (!wait)
            {
                continue;
            }
            if (!result.limit_left || *wait < *result.limit_left)
            {
                result.limit_left = wait;
                result.limited = record;
            }
            if (wait->count() > 0)
            {
                continue;
            }
        }
        else
        {
            is_any_unlimited = true;
        }
        if (m_excluded_servers.contains(id) || !is_usable(*record, now))
        {
            continue;
        }
        const milliseconds full_for = record->room.time_to_try(now);
        if (full_for.count() > 0)
        {
            result.full_for =
                std::min(full_for, result.full_for.value_or(full_for));
            continue;
        }
        const std::uint32_t slots =
            m_service->engine ? m_service->engine->slots : entry.slots;
        candidates.push_back(
            {&record->entry.id, record->running + record->running_elsewhere,
             slots, entry.data_centre == m_state.settings.data_centre,
             record->health.is_trusted(now),
             prefill_outlook_of(m_state, budget, *record, m_observer.prompt(),
                                first_event_target(), now)});
        records.push_back(record);
    }
    if (is_any_unpaused)
    {
        result.pause_left.reset();
    }
    if (is_any_unlimited)
    {
        result.limit_left.reset();
    }
    result.budget_wait = budget_wait(candidates, now);
    if (result.budget_wait)
    {
        return result;
    }
    const auto choice = m_copy
                            ? routing::choose_engine(candidates, m_affinity,
                                                     m_state.mean_prompt_tokens,
                                                     m_state.random())
                            : routing::choose_plain(candidates);
    if (choice)
    {
        result.record = records[*choice];
        const auto& prefill = candidates[*choice].prefill;
        result.prefill =
            prefill ? std::optional(prefill->as_known) : std::nullopt;
    }
    else if (result.limit_left && can_book(*result.limited, *result.limit_left))
    {
        result.record = result.limited;
    }
    result.books_place =
        result.record && !is_any_unlimited && result.record == result.limited;
    return result;
}

milliseconds active_request::first_event_target() const
{
    const auto longest = std::chrono::duration_cast<milliseconds>(
        m_first_byte_deadline - m_arrived);
    return m_route->target_latency.count() > 0
               ? std::min(m_route->target_latency, longest)
               : longest;
}

std::optional<milliseconds>
active_request::budget_wait(std::span<const routing::choice_candidate> from,
                            time_point now) const
{
    // A request that was sent before has lost time already, and a stream that
    // is taken up has begun.
    if (!m_copy || m_sends > 0 || !m_excluded_servers.empty() || m_origin ||
        m_request.after_event)
    {
        return std::nullopt;
    }
    return routing::time_to_wait_for_budget(
        from, m_affinity, m_state.mean_prompt_tokens, first_event_target(),
        std::chrono::duration_cast<milliseconds>(now - m_arrived));
}

std::optional<milliseconds>
active_request::wait_for_limit(server_record& server, time_point now) const
{
    if (m_booking &&
        m_booking->sender == m_state.limit_sender_run(*m_booking->server))
    {
        if (m_booking->server.get() != &server)
        {
            return std::nullopt;
        }
        return std::max(milliseconds(0),
                        std::chrono::ceil<milliseconds>(m_booking->due - now));
    }
    return m_state.limit_wait(server, m_request.id, now);
}

bool active_request::can_book(const server_record& server,
                              milliseconds wait) const
{
    const time_point now = monotonic_clock::now();
    const auto left =
        std::chrono::duration_cast<milliseconds>(m_first_byte_deadline - now);
    const bool is_booked =
        m_booking &&
        m_booking->sender == m_state.limit_sender_run(*m_booking->server);
    return !is_booked && needs_relay(server, now) &&
           choose_relay(server) != nullptr &&
           wait + min_processing_time <= left;
}

milliseconds active_request::estimated_wait(time_point now) const
{
    if (!m_copy)
    {
        return retry_after_full;
    }
    const work_meter::scope metered(m_state.work, duty::server_choice);
    const auto& spec = m_service->engine->models.at(m_copy->model);
    milliseconds least = spec.load_from_store + load_overhead;
    for (const auto& [id, record] : m_state.servers.records())
    {
        if (record->entry.service != m_service->name ||
            record->entry.is_leaving || !has_origin(record->entry))
        {
            continue;
        }
        if (record->models().contains(m_copy->model))
        {
            milliseconds wait =
                std::max(load_overhead, record->pause.left(now));
            if (record->limit.is_limited(now))
            {
                wait = std::max(
                    wait,
                    wait_for_limit(*record, now).value_or(milliseconds(0)));
            }
            least = std::min(least, wait);
        }
        else if (record->published &&
                 record->published->loading == m_copy->model)
        {
            const auto left = std::chrono::duration_cast<milliseconds>(
                record->published->loaded_at - now);
            least = std::min(least,
                             std::max(left, milliseconds(0)) + load_overhead);
        }
        else if (record->entry.in_memory.contains(m_copy->model))
        {
            least = std::min(least, spec.load_from_memory + load_overhead);
        }
        else if (record->entry.on_disk.contains(m_copy->model))
        {
            least = std::min(least, spec.load_from_disk + load_overhead);
        }
    }
    return least;
}

void active_request::refuse_if_unservable(time_point now,
                                          const server_pick& pick)
{
    const milliseconds estimate = estimated_wait(now);
    const auto left =
        std::chrono::duration_cast<milliseconds>(m_first_byte_deadline - now);
    if (now >= m_state.wait_deadline)
    {
        refuse(refusal_kind::not_ready, retry_after_full);
    }
    if (m_origin && !is_origin_listed())
    {
        refuse_to_resume("no server of its software version is left");
    }
    if (m_copy && estimate + min_processing_time > left)
    {
        refuse(refusal_kind::target_unreachable, estimate);
    }
    // A model may be loaded at a server without a limit meanwhile.
    if (!m_copy && pick.limit_left &&
        *pick.limit_left + min_processing_time > left)
    {
        refuse(refusal_kind::no_capacity, *pick.limit_left);
    }
    const milliseconds pause = pick.pause_left.value_or(milliseconds(0));
    if (left < min_processing_time ||
        (!m_copy && pause + min_processing_time > left))
    {
        refuse(refusal_kind::no_capacity, std::max(retry_after_full, pause));
    }
}

net::awaitable<server_table::record_pointer> active_request::wait_for_server()
{
    bool has_waited = false;
    const time_point began = monotonic_clock::now();
    milliseconds estimate{0};
    while (!m_is_caller_gone)
    {
        const server_pick choice = pick_server();
        if (choice.record)
        {
            m_books_place = choice.books_place;
            m_observer.set_expected_prefill(choice.prefill);
            if (choice.prefill)
            {
                m_state.metrics.count_prefill_choice(
                    choice.prefill->is_within_budget ? "within-budget"
                                                     : "over-budget");
            }
            if (has_waited)
            {
                m_state.metrics.observe_wait(time_since(began), estimate);
            }
            co_return choice.record;
        }
        const time_point now = monotonic_clock::now();
        if (choice.pause_left)
        {
            // The excluded servers may be tried again after the pause.
            m_excluded_servers.clear();
        }
        if (!m_excluded_servers.empty() && choice.has_eligible_server &&
            m_runs > 0 && !m_has_retried_same_server)
        {
            // Every eligible server has been tried or has no free slot. Allow
            // all of them once more: if only one server holds the model, a
            // second attempt there may succeed.
            m_has_retried_same_server = true;
            m_excluded_servers.clear();
            continue;
        }
        if (!m_excluded_servers.empty() && choice.has_eligible_server)
        {
            // Every eligible server has been tried or has no free slot.
            refuse(refusal_kind::no_capacity, retry_after_full);
        }
        if (!choice.budget_wait)
        {
            refuse_if_unservable(now, choice);
        }
        if (choice.budget_wait && !has_waited)
        {
            m_state.metrics.count_prefill_choice("waits");
        }
        if (!has_waited)
        {
            has_waited = true;
            estimate = choice.budget_wait.value_or(estimated_wait(now));
            log_event(
                severity::info, event_number::request_waits,
                {{"request", m_request.id.value()},
                 {"model", m_copy ? m_copy->model.value() : std::string()},
                 {"adapter", m_copy && m_copy->adapter
                                 ? m_copy->adapter->value()
                                 : std::string()},
                 {"is_any_there", choice.has_eligible_server},
                 {"is_for_budget", choice.budget_wait.has_value()},
                 {"estimate_ms", estimate.count()},
                 {"left_ms", time_left(now).count()}});
        }
        milliseconds recheck = std::min(max_recheck_interval, time_left(now));
        if (choice.limit_left && choice.limit_left->count() > 0)
        {
            recheck = std::min(recheck, *choice.limit_left);
            m_state.book_if_sender(*choice.limited, m_request.id, now);
        }
        if (choice.full_for)
        {
            recheck = std::min(recheck, *choice.full_for);
        }
        recheck = std::min(recheck, choice.budget_wait.value_or(recheck));
        // Another copy of the model is not needed for a prompt that waits for
        // budget at those that there are.
        m_waiter->copy = choice.budget_wait ? std::nullopt : m_copy;
        if (m_origin)
        {
            m_waiter->version = m_origin->version;
        }
        m_waiter->priority =
            m_organisation != nullptr && m_organisation->priority
                ? *m_organisation->priority
                : m_route->priority;
        m_waiter->arrived = m_arrived;
        m_waiter->deadline = m_first_byte_deadline;
        m_excluded_servers.clear();
        co_await m_state.waiting.wait(m_waiter, recheck);
    }
    co_return nullptr;
}

} // namespace cicadahub::entry
