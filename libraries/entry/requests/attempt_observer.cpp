#include "entry/requests/attempt_observer.hpp"

#include "core/structured_log.hpp"
#include "entry/servers/crash_evidence.hpp"
#include "entry/servers/crash_notices.hpp"

namespace cicadahub::entry
{

namespace
{

milliseconds time_since(time_point moment)
{
    return std::chrono::duration_cast<milliseconds>(monotonic_clock::now() -
                                                    moment);
}

} // namespace

attempt_observer::attempt_observer(entry_state& state,
                                   const serving::request& request,
                                   std::function<void()> on_first_event)
    : m_state(state), m_request(request.id),
      m_on_first_event(std::move(on_first_event)),
      m_parts(shared_parts_of(request.prompt)),
      m_prompt(prompt_size_of(request))
{
}

attempt_observer::~attempt_observer()
{
    end_dispatch();
}

void attempt_observer::end_dispatch()
{
    if (m_dispatched)
    {
        m_state.dispatched.remove(*m_dispatched);
        m_dispatched.reset();
    }
}

bool attempt_observer::has_place() const
{
    // The request is among those that run.
    return m_record->running + m_record->running_elsewhere <=
           m_record->entry.slots;
}

exchange_handlers attempt_observer::handlers()
{
    return {[this] { return may_send(); },
            [this](const server_notice& it) { on_notice(it); },
            [this]
            {
                m_state.last_server_contact = monotonic_clock::now();
                m_record->last_contact = m_state.last_server_contact;
                m_state.reach.on_contact(m_state.last_server_contact);
            },
            [this]
            {
                m_record->room.on_accepted(m_sent_at);
                if (m_dispatched)
                {
                    (*m_dispatched)->began = monotonic_clock::now();
                }
                if (m_reading)
                {
                    m_reading->on_first_event(m_sent_at);
                }
                m_on_first_event();
            }};
}

void attempt_observer::begin(server_table::record_pointer record,
                             std::string relay)
{
    m_record = std::move(record);
    m_version = m_record->entry.version;
    m_relay = std::move(relay);
    m_sent.reset();
    // Not only when it is sent: other requests may choose the server meanwhile.
    m_record->room.on_sent(monotonic_clock::now());
    m_reading.reset();
    if (m_relay.empty() && m_prompt.tokens > 0 &&
        m_state.chooses_by_load(m_record->entry.service))
    {
        m_reading.emplace(m_state, m_record, m_prompt, m_target);
    }
}

bool attempt_observer::may_send()
{
    const time_point now = monotonic_clock::now();
    m_sent_at = now;
    const auto listed = m_state.servers.find(m_record->entry.id);
    // Another start of the server may have been listed meanwhile.
    if ((listed && listed != m_record) || !m_record->accepts_requests(now) ||
        (!m_is_trial && m_state.find_crashing_part(m_parts, now)))
    {
        return false;
    }
    if (!m_relay.empty())
    {
        return true;
    }
    if (!m_state.may_send(*m_record, m_request, now))
    {
        return false;
    }
    m_state.on_sent(*m_record, m_request, now);
    end_dispatch();
    const bool begins_at_once = m_prompt.tokens == 0 && has_place();
    m_dispatched = m_state.dispatched.add(
        {m_fingerprint, m_parts,
         begins_at_once ? std::optional(now) : std::nullopt,
         std::shared_ptr<const time_point>(m_record, &m_record->last_contact)});
    const auto brittle = m_state.brittle_services.find(m_record->entry.service);
    if (brittle != m_state.brittle_services.end())
    {
        m_sent = brittle->second.on_sent(m_record->entry.id, now);
    }
    return true;
}

void attempt_observer::count_rejection(const exchange_result& result)
{
    const auto brittle = m_state.brittle_services.find(m_record->entry.service);
    if (!m_sent || brittle == m_state.brittle_services.end())
    {
        return;
    }
    if (is_rejection(result))
    {
        brittle->second.on_rejected(m_record->entry.id, *m_sent,
                                    monotonic_clock::now());
    }
    else
    {
        brittle->second.on_accepted(m_record->entry.id, *m_sent);
    }
}

void attempt_observer::on_notice(const server_notice& it)
{
    const serving::server_entry& entry = m_record->entry;
    m_state.on_server_notice(*m_record, it);
    if (it.is_leaving &&
        m_state.servers.on_leaving(entry.id, entry.incarnation, "response"))
    {
        m_state.on_server_leaving();
    }
    // A pause is asked of the host that sent the request.
    if (!it.pause || !m_relay.empty())
    {
        return;
    }
    const double draw = std::uniform_real_distribution<>()(m_state.random);
    if (m_record->pause.on_requested(monotonic_clock::now(), *it.pause, draw))
    {
        log_event(severity::info, event_number::server_paused,
                  {{"server", entry.id.value()},
                   {"request", m_request.value()},
                   {"incarnation", entry.incarnation},
                   {"pause_ms", it.pause->count()}});
    }
}

net::awaitable<bool>
attempt_observer::end(const exchange_result& result,
                      const std::optional<replicas::copy_name>& copy)
{
    const auto dispatched =
        m_dispatched ? std::optional(**m_dispatched) : std::nullopt;
    end_dispatch();
    count_rejection(result);
    if (m_reading && (result.end == exchange_end::answered ||
                      result.end == exchange_end::streamed))
    {
        m_reading->on_completed();
    }
    m_reading.reset();
    // The host on whose connection the answer came judges it.
    if (m_relay.empty() && (result.end == exchange_end::answered ||
                            result.end == exchange_end::streamed))
    {
        evidence().on_answer(result);
    }
    const bool has_failed_to_connect = result.end == exchange_end::not_sent;
    if (!m_relay.empty())
    {
        if (result.end == exchange_end::withheld)
        {
            const time_point now = monotonic_clock::now();
            const daemon_id sender = m_state.limit_sender_run(*m_record);
            if (result.limit_wait)
            {
                m_record->limit.on_withheld(sender, *result.limit_wait, now);
            }
            else
            {
                m_record->limit.on_withheld_without_wait(
                    sender, m_state.fleet.host_count(now), now);
            }
        }
        // The daemon that forwarded the request examined the failure.
        if (!result.is_relay_unavailable && !has_failed_to_connect)
        {
            update_health(result, copy);
        }
        co_return false;
    }
    if (result.end == exchange_end::failed && m_state.reach.is_cut_off())
    {
        co_return true;
    }
    if (!has_failed_to_connect && !result.is_connection_lost)
    {
        update_health(result, copy);
        co_return false;
    }
    const time_point failed_at = monotonic_clock::now();
    const connection_loss loss = has_failed_to_connect
                                     ? connection_loss::not_opened
                                 : result.head ? connection_loss::within_answer
                                               : connection_loss::before_answer;
    const loss_cause cause =
        co_await m_state.reach.find_cause(m_record->entry.address, loss);
    if (cause == loss_cause::host)
    {
        co_return true;
    }
    update_health(result, copy);
    m_state.on_connection_lost(*m_record, failed_at);
    if (cause == loss_cause::crash)
    {
        m_state.on_crashed(*m_record, failed_at);
        if (dispatched && dispatched->has_lasted(failed_at))
        {
            evidence().on_lasted(*dispatched->began, failed_at);
        }
        else
        {
            evidence().on_crash(failed_at);
        }
    }
    co_return false;
}

crash_evidence attempt_observer::evidence() const
{
    return {m_state, m_record, m_request, m_fingerprint, m_parts, m_sent_at};
}

void attempt_observer::update_health(
    const exchange_result& result,
    const std::optional<replicas::copy_name>& copy)
{
    const time_point now = monotonic_clock::now();
    server_record& record = *m_record;
    if (result.end == exchange_end::not_here && copy)
    {
        record.on_absent(*copy);
    }
    if (is_rejection(result))
    {
        const double draw = std::uniform_real_distribution<>()(m_state.random);
        record.room.on_rejected(m_sent_at, now, draw);
        record.occupancy.on_rejected(
            m_sent_at, m_state.expectation_of(record, now).to_end, draw, now);
    }
    bool is_suspended = false;
    if (result.end == exchange_end::not_sent)
    {
        record.health.on_unreachable(now);
        is_suspended = true;
    }
    else if ((result.end == exchange_end::failed || is_server_error(result)) &&
             !result.notice.pause)
    {
        is_suspended = record.health.on_failure(now);
    }
    else if (result.end == exchange_end::answered ||
             result.end == exchange_end::streamed)
    {
        record.health.on_success();
        record.room.on_ended();
        record.occupancy.on_ended();
        if (result.answer_began)
        {
            m_state.on_outcome(
                record,
                {std::chrono::duration_cast<milliseconds>(*result.answer_began -
                                                          m_sent_at),
                 std::chrono::duration_cast<milliseconds>(now - m_sent_at)},
                now);
        }
    }
    if (is_suspended)
    {
        log_event(severity::warning, event_number::server_suspended,
                  {{"server", record.entry.id.value()},
                   {"request", m_request.value()},
                   {"end", name_of(result.end)},
                   {"failure_share", record.health.failure_share()},
                   {"servers_silent_ms", servers_silent_ms()},
                   {"reason", result.reason}});
    }
}

void attempt_observer::log(const exchange_result& result,
                           time_point sent_at) const
{
    const time_point now = monotonic_clock::now();
    m_state.metrics.count_attempt(name_of(result.end), time_since(sent_at));
    const outcome::response_facts head =
        result.head.value_or(answer_head{}).facts;
    log_event(
        severity::info, event_number::request_attempted,
        {{"request", m_request.value()},
         {"server", m_record->entry.id.value()},
         {"end", name_of(result.end)},
         {"status", head.status},
         {"names_request", outcome::name_of(head.request)},
         {"names_server", outcome::name_of(head.server)},
         {"software_version", m_version.value()},
         {"incarnation", m_record->entry.incarnation},
         {"states_not_run", head.states_not_run},
         {"earlier_exchanges", result.earlier_exchanges},
         {"running", m_record->running},
         {"running_elsewhere", m_record->running_elsewhere},
         {"framing", result.framing ? http::name_of(*result.framing) : ""},
         {"partial_event_bytes", result.partial_event_bytes},
         {"took_ms", time_since(sent_at).count()},
         {"unread_tokens", m_reading ? m_reading->unread_tokens() : 0},
         {"prefill_ms",
          m_expected_prefill ? m_expected_prefill->expected_delay.count() : 0},
         {"servers_silent_ms", servers_silent_ms()},
         {"relay", m_relay},
         {"limit", m_record->limit.requests_per_second(now).value_or(0)},
         {"limit_part", m_record->limit.part(now)},
         {"is_brittle",
          m_state.brittle_services.contains(m_record->entry.service)},
         {"reason", result.reason}});
}

std::int64_t attempt_observer::servers_silent_ms() const
{
    return time_since(m_state.last_server_contact).count();
}

} // namespace cicadahub::entry
