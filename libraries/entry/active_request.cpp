#include "entry/active_request.hpp"

#include "core/errors.hpp"
#include "core/structured_log.hpp"

namespace cicadahub::entry
{

namespace
{

/// A request is refused after this many sends that no server executed.
constexpr std::uint32_t max_sends_without_run = 3;

/// True for 5xx responses. 504 is excluded: a server that runs out of time is
/// not faulty.
bool is_server_error(const exchange_result& result)
{
    return result.answer && result.answer->result_int() >= 500 &&
           result.answer->result() != http::status::gateway_timeout;
}

} // namespace

active_request::active_request(entry_state& state,
                               const server_dialect& servers,
                               const http::request& message,
                               serving::request request,
                               http::reply_writer& reply)
    : m_state(state), m_servers(servers), m_message(message),
      m_request(std::move(request)), m_reply(reply),
      m_configuration(state.configuration), m_arrived(monotonic_clock::now()),
      m_exchange(state.pool, servers,
                 {[this] { return may_send(); },
                  [this](const server_notice& it) { on_notice(it); },
                  [this]
                  {
                      m_state.last_server_contact = monotonic_clock::now();
                  }}),
      m_waiter(state.waiting.make_waiter())
{
}

bool active_request::is_stream() const
{
    return m_route->kind == serving::request_kind::stream;
}

void active_request::refuse(refusal_kind reason, milliseconds retry_after)
{
    const refusal it =
        without_untrue_promise({reason, m_runs == 0, retry_after});
    m_state.metrics.count_refusal(it.kind);
    log_event(
        severity::warning, event_number::request_refused,
        {{"request", m_request.id.value()},
         {"route", m_route == nullptr ? std::string() : m_route->name.value()},
         {"model", m_request.model ? m_request.model->value() : std::string()},
         {"reason", cicadahub::name_of(it.kind)},
         {"sends", m_sends},
         {"runs", m_runs},
         {"after_ms", time_since(m_arrived).count()},
         {"retry_after_ms", retry_after.count()},
         {"configuration", m_configuration ? m_configuration->version : 0}});
    throw refused_error(it);
}

net::awaitable<void> active_request::serve()
{
    if (!m_configuration || !m_state.has_servers ||
        m_arrived >= m_state.accept_deadline)
    {
        refuse(refusal_kind::not_ready, retry_after_starting);
    }
    find_route();
    authenticate();
    choose_service();
    const auto caller_timeout =
        m_request.caller_timeout.value_or(m_route->timeout);
    m_deadline = m_arrived + std::min(caller_timeout, m_route->timeout);
    m_first_byte_deadline =
        std::min(m_deadline, m_arrived + m_route->first_byte_timeout);
    // A caller's connection that accepts no more bytes must not keep the
    // request beyond its deadline.
    m_reply.set_write_timeout(time_left(m_arrived));
    refuse_suspect();
    charge();
    m_reply.watch_caller(
        [this]
        {
            m_is_caller_gone = true;
            m_exchange.cancel();
            m_waiter->timer.cancel();
        });
    co_await attempt_until_answered();
}

bool active_request::may_send() const
{
    return m_attempted->accepts_requests(monotonic_clock::now());
}

void active_request::on_notice(const server_notice& it)
{
    const serving::server_entry& entry = m_attempted->entry;
    if (it.is_leaving &&
        m_state.servers.on_leaving(entry.id, entry.incarnation, "response"))
    {
        m_state.on_server_leaving();
    }
    if (!it.pause)
    {
        return;
    }
    const double draw = std::uniform_real_distribution<>()(m_state.random);
    if (m_attempted->pause.on_requested(monotonic_clock::now(), *it.pause,
                                        draw))
    {
        log_event(severity::info, event_number::server_paused,
                  {{"server", entry.id.value()},
                   {"request", m_request.id.value()},
                   {"incarnation", entry.incarnation},
                   {"pause_ms", it.pause->count()}});
    }
}

net::awaitable<exchange_result>
active_request::attempt(const server_table::record_pointer& record)
{
    const running_guard guard(record, m_copy ? std::optional(m_copy->model)
                                             : std::nullopt);
    m_attempted = record;
    const time_point now = monotonic_clock::now();
    forwarding added;
    added.server = record->entry.id;
    if (m_organisation != nullptr)
    {
        added.organisation = m_organisation->name;
    }
    added.after_event = m_progress.last_event;
    ++m_sends;
    exchange_result result = co_await m_exchange.run(
        record->entry.address, m_message, added, m_request.id, m_reply,
        m_progress, m_deadline,
        !m_attempted_addresses.insert(record->entry.address).second);
    record_attempt(result, *record, now);
    co_return result;
}

void active_request::record_attempt(const exchange_result& result,
                                    const server_record& record,
                                    time_point sent_at) const
{
    m_state.metrics.count_attempt(name_of(result.end), time_since(sent_at));
    const outcome::response_facts head =
        result.head.value_or(answer_head{}).facts;
    log_event(
        severity::info, event_number::request_attempted,
        {{"request", m_request.id.value()},
         {"server", record.entry.id.value()},
         {"end", name_of(result.end)},
         {"status", head.status},
         {"names_request", outcome::name_of(head.request)},
         {"names_server", outcome::name_of(head.server)},
         {"states_not_run", head.states_not_run},
         {"earlier_exchanges", result.earlier_exchanges},
         {"running", record.running},
         {"running_elsewhere", record.running_elsewhere},
         {"framing", result.framing ? http::name_of(*result.framing) : ""},
         {"partial_event_bytes", result.partial_event_bytes},
         {"took_ms", time_since(sent_at).count()},
         {"servers_silent_ms", servers_silent_ms()},
         {"reason", result.reason}});
}

std::int64_t active_request::servers_silent_ms() const
{
    return time_since(m_state.last_server_contact).count();
}

void active_request::record_crash(const exchange_result& result)
{
    if (result.end == exchange_end::answered ||
        result.end == exchange_end::streamed)
    {
        m_state.suspects.on_completed(m_fingerprint);
        return;
    }
    if (!result.is_connection_lost)
    {
        return;
    }
    const std::uint32_t crashes =
        m_state.suspects.on_crash(m_fingerprint, monotonic_clock::now());
    m_state.send_update_soon();
    log_event(severity::warning, event_number::request_suspected,
              {{"request", m_request.id.value()},
               {"fingerprint", m_fingerprint.value()},
               {"crashes", crashes},
               {"server", m_attempted->entry.id.value()},
               {"servers_silent_ms", servers_silent_ms()},
               {"seen_by", m_state.settings.name.value()}});
}

void active_request::update_health(const exchange_result& result,
                                   server_record& record)
{
    const time_point now = monotonic_clock::now();
    if (result.end == exchange_end::not_here && m_copy)
    {
        record.on_absent(*m_copy);
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
    }
    if (is_suspended)
    {
        log_event(severity::warning, event_number::server_suspended,
                  {{"server", record.entry.id.value()},
                   {"request", m_request.id.value()},
                   {"end", name_of(result.end)},
                   {"failure_share", record.health.failure_share()},
                   {"reason", result.reason}});
    }
}

bool active_request::is_retryable(const exchange_result& result) const
{
    if (result.end != exchange_end::failed && !is_server_error(result))
    {
        return false;
    }
    // Behind events without an id a stream could only begin anew.
    const bool can_go_on =
        !m_progress.first_event_at || m_progress.last_event.has_value();
    const bool is_repeatable =
        m_route->kind == serving::request_kind::repeatable ||
        (is_stream() && m_route->is_resumable && can_go_on);
    return is_repeatable && m_runs < m_route->max_attempts;
}

bool active_request::prepare_retry(const exchange_result& result,
                                   const server_table::record_pointer& record)
{
    const time_point now = monotonic_clock::now();
    const bool is_unsent = result.end == exchange_end::not_sent ||
                           result.end == exchange_end::withheld;
    const bool is_not_run = is_unsent ||
                            result.end == exchange_end::turned_away ||
                            result.end == exchange_end::not_here;
    if (!is_not_run)
    {
        ++m_runs;
    }
    const bool is_allowed =
        is_not_run ? m_sends - m_runs < max_sends_without_run
                   : is_retryable(result) &&
                         !m_state.suspects.is_refused(m_fingerprint);
    if (!is_allowed || time_left(now) < min_processing_time)
    {
        return false;
    }
    m_excluded_servers.insert(record->entry.id);
    // A request of which no byte was sent costs no server any work, so the next
    // attempt is not charged to the retry budget.
    return is_unsent || m_state.retry_budget_of(m_service->name).take(now);
}

net::awaitable<void> active_request::attempt_until_answered()
{
    while (true)
    {
        const auto record = co_await wait_for_server();
        if (!record)
        {
            record_outcome("caller-gone");
            co_return;
        }
        exchange_result result = co_await attempt(record);
        update_health(result, *record);
        record_crash(result);
        if (m_state.waiting.size() > 0)
        {
            m_state.waiting.wake_all();
        }
        if (m_is_caller_gone || !prepare_retry(result, record))
        {
            co_await finish(std::move(result));
            co_return;
        }
    }
}

net::awaitable<void> active_request::finish(exchange_result result)
{
    m_reply.stop_watching_caller();
    switch (result.end)
    {
    case exchange_end::streamed:
        record_outcome("streamed");
        co_return;
    case exchange_end::answered:
        if (!m_progress.has_head)
        {
            record_outcome("answered", result.answer->result_int());
            co_await m_reply.send(std::move(*result.answer));
            co_return;
        }
        refuse(refusal_kind::backend_failed, {});
    case exchange_end::caller_gone:
        record_outcome("caller-gone");
        m_reply.abort_stream();
        co_return;
    case exchange_end::not_sent:
    case exchange_end::withheld:
    case exchange_end::turned_away:
    case exchange_end::not_here:
        if (m_runs == 0)
        {
            refuse(refusal_kind::no_capacity,
                   std::max(retry_after_full, pick_server().pause_left.value_or(
                                                  milliseconds(0))));
        }
        refuse(refusal_kind::backend_failed, {});
    case exchange_end::failed:
        refuse(refusal_kind::backend_failed, {});
    case exchange_end::out_of_time:
        refuse(refusal_kind::outcome_unknown, {});
    }
}

void active_request::record_outcome(std::string_view outcome,
                                    unsigned status) const
{
    m_state.metrics.count_request(outcome, time_since(m_arrived));
    if (m_progress.first_event_at)
    {
        m_state.metrics.observe_first_event(
            std::chrono::duration_cast<milliseconds>(
                *m_progress.first_event_at - m_arrived));
    }
    log_event(severity::info, event_number::request_answered,
              {{"request", m_request.id.value()},
               {"route", m_route->name.value()},
               {"outcome", outcome},
               {"status", status},
               {"sends", m_sends},
               {"runs", m_runs},
               {"took_ms", time_since(m_arrived).count()},
               {"configuration", m_configuration->version}});
}

} // namespace cicadahub::entry
