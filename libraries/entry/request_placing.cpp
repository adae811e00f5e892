#include "entry/request_run.hpp"

#include "core/structured_log.hpp"

namespace cicadahub::entry
{

namespace
{

/// Longest time between two looks at what a request waits for.
constexpr milliseconds look_period{250};
/// Besides the load itself: order, report and the way to the server.
constexpr milliseconds load_overhead{300};

} // namespace

milliseconds request_run::time_left(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now);
}

request_run::picked request_run::pick() const
{
    const time_point now = monotonic_clock::now();
    std::vector<server_table::record_pointer> records;
    std::vector<routing::choice_candidate> candidates;
    picked result;
    for (const auto& [id, record] : m_state.servers.records())
    {
        const auto& entry = record->entry;
        if (entry.service != m_service->name || entry.is_leaving ||
            (m_copy && !record->holds(*m_copy)))
        {
            continue;
        }
        result.is_any_there = true;
        if (m_passed_over.contains(id))
        {
            continue;
        }
        const std::uint32_t slots =
            m_service->engine ? m_service->engine->slots : entry.slots;
        candidates.push_back(
            {&record->entry.id, record->running + record->running_elsewhere,
             slots, entry.data_centre == m_state.settings.data_centre,
             record->health.is_trusted(now)});
        records.push_back(record);
    }
    const auto choice = m_copy
                            ? routing::choose_engine(candidates, m_affinity,
                                                     m_state.mean_prompt_tokens,
                                                     m_state.random())
                            : routing::choose_plain(candidates);
    if (choice)
    {
        result.record = records[*choice];
    }
    return result;
}

milliseconds request_run::estimated_wait(time_point now) const
{
    if (!m_copy)
    {
        return full_retry;
    }
    const auto& spec = m_service->engine->models.at(m_copy->model);
    milliseconds least = spec.load_from_store + load_overhead;
    for (const auto& [id, record] : m_state.servers.records())
    {
        if (record->entry.service != m_service->name ||
            record->entry.is_leaving)
        {
            continue;
        }
        if (record->models().contains(m_copy->model))
        {
            least = std::min(least, load_overhead);
        }
        else if (record->ordered && record->ordered->loading == m_copy->model)
        {
            const auto left = std::chrono::duration_cast<milliseconds>(
                record->ordered->loaded_at - now);
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

void request_run::refuse_if_hopeless(time_point now)
{
    const milliseconds estimate = estimated_wait(now);
    const auto left =
        std::chrono::duration_cast<milliseconds>(m_first_byte_by - now);
    if (now >= m_state.last_waiting_at)
    {
        refuse(refusal_kind::not_ready, full_retry);
    }
    if (m_copy && estimate + least_work > left)
    {
        refuse(refusal_kind::target_unreachable, estimate);
    }
    if (left < least_work)
    {
        refuse(refusal_kind::no_capacity, full_retry);
    }
}

net::awaitable<server_table::record_pointer> request_run::wait_for_server()
{
    bool is_told = false;
    const time_point began = monotonic_clock::now();
    milliseconds estimate{0};
    while (!m_is_caller_gone)
    {
        const picked choice = pick();
        if (choice.record)
        {
            if (is_told)
            {
                m_state.metrics.observe_wait(time_since(began), estimate);
            }
            co_return choice.record;
        }
        const time_point now = monotonic_clock::now();
        if (!m_passed_over.empty() && choice.is_any_there && m_runs > 0 &&
            !m_has_returned)
        {
            // The only server that has the model may well run it again.
            m_has_returned = true;
            m_passed_over.clear();
            continue;
        }
        if (!m_passed_over.empty() && choice.is_any_there)
        {
            // Every server that could run it has been tried.
            refuse(refusal_kind::no_capacity, full_retry);
        }
        refuse_if_hopeless(now);
        if (!is_told)
        {
            is_told = true;
            estimate = estimated_wait(now);
            log_event(
                severity::info, event_number::request_waits,
                {{"request", m_request.id.value()},
                 {"model", m_copy ? m_copy->model.value() : std::string()},
                 {"adapter", m_copy && m_copy->adapter
                                 ? m_copy->adapter->value()
                                 : std::string()},
                 {"is_any_there", choice.is_any_there},
                 {"estimate_ms", estimate.count()},
                 {"left_ms", time_left(now).count()}});
        }
        m_waiter->copy = m_copy;
        m_waiter->rank = m_organisation != nullptr && m_organisation->rank
                             ? *m_organisation->rank
                             : m_route->rank;
        m_waiter->arrived = m_arrived;
        m_waiter->deadline = m_first_byte_by;
        m_passed_over.clear();
        co_await m_state.waiting.wait(m_waiter,
                                      std::min(look_period, time_left(now)));
    }
    co_return nullptr;
}

} // namespace cicadahub::entry
