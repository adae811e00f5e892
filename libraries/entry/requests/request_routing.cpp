#include "entry/requests/active_request.hpp"

#include "core/structured_log.hpp"

#include <cmath>

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

/// Places of a cold server: those taken, and as many as it takes in a second.
std::uint32_t cold_slots(const server_record& it, time_point now)
{
    constexpr double most = 1e6;
    const double rate = it.limit.requests_per_second(now).value_or(0);
    return it.running + it.running_elsewhere +
           static_cast<std::uint32_t>(std::ceil(std::min(rate, most)));
}

/// Removes the cold servers, which are slow, if a warm one has a free place.
void prefer_warm(std::vector<routing::choice_candidate>& candidates,
                 std::vector<server_table::record_pointer>& records,
                 time_point now)
{
    bool is_any_warm_free = false;
    bool is_any_cold = false;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        const bool is_cold = records[n]->limit.is_cold(now);
        is_any_cold = is_any_cold || is_cold;
        is_any_warm_free =
            is_any_warm_free || (!is_cold && candidates[n].is_trusted &&
                                 candidates[n].running < candidates[n].slots);
    }
    if (!is_any_cold || !is_any_warm_free)
    {
        return;
    }
    std::size_t kept = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        if (!records[n]->limit.is_cold(now))
        {
            candidates[kept] = candidates[n];
            records[kept] = records[n];
            ++kept;
        }
    }
    candidates.resize(kept);
    records.resize(kept);
}

} // namespace

bool active_request::has_origin(const serving::server_entry& server) const
{
    if (m_origin)
    {
        return server.service == m_origin->service &&
               server.version == m_origin->version;
    }
    return !begins_resumable_stream() ||
           m_state.continuity.may_begin({server.service, server.version});
}

bool active_request::is_eligible(const server_record& server) const
{
    const serving::server_entry& entry = server.entry;
    return !entry.is_leaving && !server.is_evacuated && has_origin(entry) &&
           m_state.is_allowed(m_allowed_regions, entry.data_centre);
}

bool active_request::is_any_region_eligible() const
{
    const auto& records = m_state.servers.records();
    return !m_allowed_regions.is_restricted() ||
           std::any_of(records.begin(), records.end(),
                       [this](const auto& it)
                       {
                           return it.second->entry.service == m_service->name &&
                                  is_eligible(*it.second);
                       });
}

bool active_request::is_origin_listed() const
{
    const auto& records = m_state.servers.records();
    return std::any_of(records.begin(), records.end(),
                       [this](const auto& it)
                       { return is_eligible(*it.second); });
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
    const bool is_by_pace = m_state.chooses_by_load(m_service->name);
    const bool leaves_last_slots =
        m_waiter->control != nullptr &&
        m_waiter->control->leaves_last_slots(m_waiter->request, now);
    bool is_any_unpaused = false;
    bool is_any_unlimited = false;
    for (const auto& [id, record] : m_state.servers.records())
    {
        const auto& entry = record->entry;
        if (entry.service != m_service->name || !is_eligible(*record) ||
            (m_copy && !record->holds(*m_copy)))
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
        const milliseconds full_for = is_by_pace
                                          ? record->occupancy.time_to_try(now)
                                          : record->room.time_to_try(now);
        if (full_for.count() > 0)
        {
            result.full_for =
                std::min(full_for, result.full_for.value_or(full_for));
            continue;
        }
        std::uint32_t slots =
            m_service->engine ? m_service->engine->slots : entry.slots;
        if (is_by_pace && record->occupancy.slots() > 0)
        {
            slots = record->occupancy.slots();
        }
        if (record->limit.is_cold(now))
        {
            slots = std::min(slots, cold_slots(*record, now));
        }
        const std::uint32_t kept =
            leaves_last_slots ? admission::admission_control::last_slots(slots)
                              : 0;
        candidates.push_back(
            {&record->entry.id,
             record->running + record->running_elsewhere,
             slots - kept,
             entry.data_centre == m_state.settings.data_centre,
             record->health.is_trusted(now),
             {},
             prefill_outlook_of(m_state, budget, *record, m_observer.prompt(),
                                first_event_target(), now)});
        if (is_by_pace)
        {
            expect_by_statements(candidates.back(), *record, now);
        }
        records.push_back(record);
    }
    prefer_warm(candidates, records, now);
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
    const milliseconds time_to_target =
        m_route->target_latency -
        std::chrono::duration_cast<milliseconds>(now - m_arrived);
    const auto choice =
        m_copy ? routing::choose_engine(candidates, m_affinity,
                                        m_state.mean_prompt_tokens,
                                        m_state.random(), time_to_target)
               : routing::choose_plain(candidates,
                                       is_by_pace ? m_state.random() : 0,
                                       time_to_target);
    if (!choice && is_by_pace && !candidates.empty())
    {
        const milliseconds recheck = routing::time_to_room(candidates);
        result.full_for = std::min(recheck, result.full_for.value_or(recheck));
    }
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

void active_request::expect_by_statements(routing::choice_candidate& to,
                                          const server_record& server,
                                          time_point now) const
{
    to.expected = m_state.expectation_of(server, now);
    to.running = static_cast<std::uint32_t>(std::lround(to.expected->running));
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
        if (record->entry.service != m_service->name || !is_eligible(*record))
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
    if (!is_any_region_eligible())
    {
        refuse(refusal_kind::no_capacity, retry_after_full);
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

std::int64_t active_request::priority() const
{
    return m_organisation != nullptr && m_organisation->priority
               ? *m_organisation->priority
               : m_route->priority;
}

void active_request::update_waiter(time_point now)
{
    m_waiter->copy = m_copy;
    if (m_origin)
    {
        m_waiter->version = m_origin->version;
    }
    m_waiter->regions = m_allowed_regions.regions();
    m_waiter->priority = priority();
    m_waiter->arrived = m_arrived;
    m_waiter->deadline = m_first_byte_deadline;
    admission::admission_control* control =
        m_state.admission_of(m_service->name);
    m_waiter->control = control;
    if (control == nullptr)
    {
        return;
    }
    if (!std::exchange(m_is_in_demand, true))
    {
        const auto returned =
            control->refused().take_returned(m_fingerprint.value(), now);
        m_first_arrived = returned.value_or(m_arrived);
        m_is_returned = returned.has_value();
        control->on_arrival({priority()}, now);
    }
    const milliseconds target = m_route->target_latency;
    m_waiter->service = m_service->name;
    m_waiter->request = {
        m_waiter->priority,
        m_request.tokens
            ? m_request.tokens->prompt + m_request.tokens->output_limit
            : 0,
        m_first_arrived,
        m_arrived,
        target.count() > 0 ? m_first_arrived + target : m_first_byte_deadline,
        m_first_byte_deadline,
        m_is_returned,
        m_progress.first_event_at.has_value()};
}

bool active_request::is_any_ahead(const server_record& server) const
{
    const auto competes = [&](const waiter& it)
    {
        return it.service == server.entry.service &&
               (!it.copy || server.holds(*it.copy)) &&
               (!it.version || *it.version == server.entry.version);
    };
    return m_waiter->control != nullptr && m_state.waiting.size() > 0 &&
           m_state.waiting.count_ahead(*m_waiter, competes) > 0;
}

admission::queue_view active_request::view_queue(time_point now,
                                                 const server_pick& pick)
{
    std::vector<admission::running_work> work;
    std::vector<const server_record*> records;
    for (const auto& [id, record] : m_state.servers.records())
    {
        const auto& entry = record->entry;
        if (entry.service == m_service->name && !entry.is_leaving &&
            has_origin(entry) && (!m_copy || record->holds(*m_copy)))
        {
            // What other hosts run there is reported late. None of the servers
            // has a free slot now.
            const std::uint32_t slots =
                m_service->engine ? m_service->engine->slots : entry.slots;
            work.push_back(
                {&id, record->running,
                 std::max(record->running_elsewhere,
                          slots - std::min(slots, record->running))});
            records.push_back(record.get());
        }
    }
    // Other requests wait for the same models most of the time.
    std::map<replicas::copy_name, bool> is_held;
    const auto competes = [&](const waiter& it)
    {
        if (it.service != m_service->name)
        {
            return false;
        }
        if (!it.copy || it.copy == m_copy)
        {
            return true;
        }
        const auto [known, is_new] = is_held.try_emplace(*it.copy, false);
        if (is_new)
        {
            known->second = std::any_of(records.begin(), records.end(),
                                        [&](const server_record* record)
                                        { return record->holds(*it.copy); });
        }
        return known->second;
    };
    admission::queue_view view;
    view.ahead = m_state.waiting.count_ahead(*m_waiter, competes);
    if (m_waiter->control == nullptr)
    {
        return view;
    }
    view.starts_per_second =
        m_state.admission[m_service->name].starts().starts_per_second(
            work, m_state.fleet.host_count(now), now);
    const milliseconds held_back =
        std::max(pick.pause_left.value_or(milliseconds(0)),
                 pick.limit_left.value_or(milliseconds(0)));
    if (!m_copy)
    {
        view.not_before = held_back;
    }
    else if (!pick.has_eligible_server || held_back.count() > 0)
    {
        // A model may be loaded at another server meanwhile.
        view.not_before = estimated_wait(now);
    }
    return view;
}

milliseconds active_request::refuse_if_queue_too_long(time_point now,
                                                      const server_pick& pick,
                                                      bool has_waited)
{
    const work_meter::scope metered(m_state.work, duty::server_choice);
    admission::admission_control& control = m_state.admission[m_service->name];
    const admission::queue_view view = view_queue(now, pick);
    // One that comes again from a server was let in already.
    const auto decision =
        has_waited || m_sends > 0
            ? control.decide_while_waiting(m_waiter->request, view,
                                           min_processing_time, now)
            : control.decide_on_arrival(m_waiter->request, view,
                                        min_processing_time, now);
    if (!decision.may_wait)
    {
        refuse(refusal_kind::no_capacity, decision.retry_after);
    }
    return decision.begins_after;
}

void active_request::observe_start(const server_record& server,
                                   const exchange_result& result,
                                   time_point sent_at)
{
    admission::admission_control* control =
        m_state.admission_of(m_service->name);
    if (control == nullptr || (result.end != exchange_end::streamed &&
                               result.end != exchange_end::answered))
    {
        return;
    }
    std::optional<milliseconds> first_event_after;
    if (result.answer_began)
    {
        first_event_after = std::chrono::duration_cast<milliseconds>(
            *result.answer_began - sent_at);
    }
    control->starts().on_ended(server.entry.id, time_since(sent_at),
                               first_event_after, monotonic_clock::now());
}

net::awaitable<server_table::record_pointer> active_request::wait_for_server()
{
    bool has_waited = false;
    bool has_let_others_pass = false;
    const time_point began = monotonic_clock::now();
    milliseconds estimate{0};
    while (!m_is_caller_gone)
    {
        update_waiter(monotonic_clock::now());
        const server_pick choice = pick_server();
        if (choice.record && !has_let_others_pass &&
            is_any_ahead(*choice.record))
        {
            // Once only: those that go ahead may not be able to use the slot.
            has_let_others_pass = true;
            co_await m_state.waiting.let_others_pass(m_waiter);
            continue;
        }
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
                m_state.metrics.observe_class_wait(priority(),
                                                   time_since(began));
            }
            if (m_waiter->control != nullptr)
            {
                // There may be more slots for those that come next.
                m_state.waiting.wake_first();
            }
            co_return choice.record;
        }
        has_let_others_pass = false;
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
        milliseconds begins_after{0};
        if (!choice.budget_wait)
        {
            refuse_if_unservable(now, choice);
            if (m_waiter->control != nullptr)
            {
                begins_after =
                    refuse_if_queue_too_long(now, choice, has_waited);
            }
        }
        if (choice.budget_wait && !has_waited)
        {
            m_state.metrics.count_prefill_choice("waits");
        }
        if (!has_waited)
        {
            has_waited = true;
            estimate = m_waiter->control == nullptr ? estimated_wait(now)
                                                    : begins_after;
            estimate = choice.budget_wait.value_or(estimate);
            log_event(
                severity::info, event_number::request_waits,
                {{"request", m_request.id.value()},
                 {"model", m_copy ? m_copy->model.value() : std::string()},
                 {"adapter", m_copy && m_copy->adapter
                                 ? m_copy->adapter->value()
                                 : std::string()},
                 {"is_any_there", choice.has_eligible_server},
                 {"is_for_budget", choice.budget_wait.has_value()},
                 {"position", view_queue(now, choice).ahead},
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
        m_excluded_servers.clear();
        co_await m_state.waiting.wait(m_waiter, recheck);
    }
    co_return nullptr;
}

} // namespace cicadahub::entry
