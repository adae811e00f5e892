#include "entry/requests/active_request.hpp"

#include "core/errors.hpp"
#include "core/invariant.hpp"
#include "core/structured_log.hpp"

namespace cicadahub::entry
{

namespace
{

/// A request is refused after this many sends that no server executed.
constexpr std::uint32_t max_sends_without_run = 3;
/// The same for servers that only had no room when the request came.
constexpr std::uint32_t max_rejections = 8;

} // namespace

active_request::active_request(entry_state& state,
                               const server_dialect& servers,
                               const http::request& message,
                               serving::request request,
                               http::reply_writer& reply)
    : m_state(state), m_servers(servers), m_message(message),
      m_request(std::move(request)), m_reply(reply),
      m_configuration(state.configuration), m_arrived(monotonic_clock::now()),
      m_first_arrived(m_arrived),
      m_observer(state, m_request, [this] { on_first_event(); }),
      m_exchange(state.pool, servers, m_observer.handlers()),
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
    if (m_service != nullptr)
    {
        m_state.metrics.count_class(priority(), "refused");
    }
    const bool is_for_want_of_room =
        it.kind == refusal_kind::no_capacity ||
        it.kind == refusal_kind::target_unreachable;
    if (m_waiter->control != nullptr && it.is_not_run && is_for_want_of_room &&
        retry_after.count() > 0)
    {
        m_state.admission[m_service->name].refused().on_refused(
            m_fingerprint.value(), m_first_arrived, retry_after,
            monotonic_clock::now());
    }
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
         {"fingerprint", m_fingerprint.value()},
         {"configuration", m_configuration ? m_configuration->version : 0}});
    throw refused_error(it);
}

net::awaitable<void> active_request::serve()
{
    if (!m_configuration || !m_state.has_servers || !m_state.are_limits_known ||
        !m_state.are_evacuations_known || m_arrived >= m_state.accept_deadline)
    {
        refuse(refusal_kind::not_ready, retry_after_starting);
    }
    m_state.on_traffic(m_arrived);
    find_route();
    if (m_reply.has_caller_left())
    {
        // The host was late to read the request.
        record_outcome("caller-gone");
        co_return;
    }
    authenticate();
    m_allowed_regions.restrict_to(m_route->allowed_regions);
    if (m_organisation != nullptr)
    {
        m_allowed_regions.restrict_to(m_organisation->allowed_regions);
    }
    co_await find_stream_origin();
    choose_service();
    const auto caller_timeout =
        m_request.caller_timeout.value_or(m_route->timeout);
    // While this host stops, its callers get an answer before it ends.
    m_deadline =
        std::min(m_arrived + std::min(caller_timeout, m_route->timeout),
                 m_state.wait_deadline);
    m_first_byte_deadline =
        std::min(m_deadline, m_arrived + m_route->first_byte_timeout);
    if (m_copy)
    {
        m_observer.set_target(first_event_target());
    }
    // A caller's connection that accepts no more bytes must not keep the
    // request beyond its deadline.
    m_reply.set_deadline(m_deadline);
    refuse_suspect();
    refuse_crashing_part();
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

bool active_request::needs_relay(const server_record& server,
                                 time_point now) const
{
    return m_state.reach.is_cut_off() ||
           !m_state.is_entitled(m_state.settings.name, server, now) ||
           (server.limit.is_limited(now) &&
            m_state.limit_sender(server) != m_state.settings.name.value());
}

bool active_request::is_usable(server_record& server, time_point now) const
{
    if (!needs_relay(server, now))
    {
        return m_state.may_send(server, m_request.id, now);
    }
    // Without a daemon that relays, a host that is cut off tries directly.
    const bool may_go_directly =
        m_state.reach.is_cut_off() && !server.limit.is_limited(now);
    return may_go_directly || choose_relay(server) != nullptr;
}

const peer* active_request::choose_relay(const server_record& server) const
{
    const time_point now = monotonic_clock::now();
    std::vector<const peer*> near;
    std::vector<const peer*> far;
    const std::string only = server.limit.is_limited(now)
                                 ? m_state.limit_sender(server)
                                 : std::string();
    for (const auto& [name, it] : m_state.fleet.peers())
    {
        if ((!only.empty() && name != only) || it.digest.is_cut_off ||
            it.digest.is_leaving || m_excluded_relays.contains(name) ||
            !m_state.is_entitled(daemon_id(name), server, now) ||
            !m_state.is_allowed(m_allowed_regions,
                                data_centre_id(it.digest.data_centre)))
        {
            continue;
        }
        const bool is_near =
            it.digest.data_centre == m_state.settings.data_centre.value();
        (is_near ? near : far).push_back(&it);
    }
    // Traffic between data centres costs more.
    const auto& from = near.empty() ? far : near;
    return from.empty() ? nullptr : from[m_state.random() % from.size()];
}

net::awaitable<exchange_result>
active_request::attempt(const server_table::record_pointer& record)
{
    const time_point now = monotonic_clock::now();
    m_attempt_origin = {record->entry.service, record->entry.version};
    CICADAHUB_INVARIANT(!m_origin || *m_origin == m_attempt_origin);
    forwarding added;
    added.server = record->entry.id;
    if (m_organisation != nullptr)
    {
        added.organisation = m_organisation->name;
    }
    added.after_event = m_progress.last_event;
    if (m_waiter->control != nullptr)
    {
        added.urgency = m_waiter->control->urgency_of(m_waiter->request, now);
    }
    exchange_path path{record->entry.address,
                       m_attempted_addresses.contains(record->entry.address),
                       std::nullopt};
    const peer* relay =
        needs_relay(*record, now) ? choose_relay(*record) : nullptr;
    m_relay = relay == nullptr ? std::string() : relay->digest.sender;
    m_observer.begin(record, m_relay);
    exchange_result result;
    if (relay != nullptr)
    {
        path.address = relay->address;
        path.relay = relayed_request{
            {}, record->entry.incarnation, m_fingerprint, false, m_books_place};
        result = co_await m_exchange.run(std::move(path), m_message, added,
                                         m_request.id, m_reply, m_progress,
                                         m_deadline);
    }
    else
    {
        // The daemon that forwards a request counts it itself.
        const running_guard running(
            record, m_copy ? std::optional(m_copy->model) : std::nullopt);
        const wait_guard waiting(m_state.reach, record, m_exchange,
                                 [this] { return is_repeatable(); });
        result = co_await m_exchange.run(std::move(path), m_message, added,
                                         m_request.id, m_reply, m_progress,
                                         m_deadline);
        observe_start(*record, result, now);
    }
    m_observer.log(result, now);
    co_return result;
}

void active_request::on_first_event()
{
    // No response holds events of two origins.
    CICADAHUB_INVARIANT(!m_origin || *m_origin == m_attempt_origin);
    m_origin = m_attempt_origin;
    if (!m_progress.first_event_at)
    {
        m_state.metrics.count_stream_began(m_is_taken_up);
    }
    if (is_stream() && m_route->is_resumable)
    {
        m_state.continuity.on_begun(stream_of(m_request.id), *m_origin,
                                    m_arrived + m_route->timeout);
    }
}

bool active_request::is_repeatable() const
{
    if (is_stream() && m_route->is_resumable)
    {
        // Behind events without an id a stream could only begin anew.
        return !m_progress.first_event_at || m_progress.last_event.has_value();
    }
    // Behind the bytes of one answer another one would begin anew, also on a
    // route whose requests may run more than once.
    return m_route->kind == serving::request_kind::repeatable &&
           !m_progress.has_head;
}

bool active_request::is_retryable(const exchange_result& result) const
{
    if (result.end != exchange_end::failed && !is_server_error(result))
    {
        return false;
    }
    return is_repeatable() && m_runs < m_route->max_attempts;
}

bool active_request::is_repeated_elsewhere(const exchange_result& result,
                                           const server_record& server,
                                           bool is_cut_off)
{
    if (time_left(monotonic_clock::now()) < min_processing_time)
    {
        return false;
    }
    if (result.is_relay_unavailable)
    {
        // Without a daemon that forwards it, the request goes to the server
        // directly, which ends this.
        m_excluded_relays.insert(m_relay);
        return true;
    }
    return is_cut_off && result.end == exchange_end::not_sent &&
           choose_relay(server) != nullptr;
}

bool active_request::prepare_retry(const exchange_result& result,
                                   const server_table::record_pointer& record,
                                   bool is_cut_off)
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
    m_rejections += is_rejection(result) ? 1 : 0;
    const bool may_send_again =
        m_sends - m_runs - m_rejections < max_sends_without_run &&
        m_rejections < max_rejections;
    const bool is_allowed =
        is_not_run ? may_send_again
                   : is_retryable(result) &&
                         !m_state.suspects.is_refused(m_fingerprint);
    if (!is_allowed || time_left(now) < min_processing_time)
    {
        return false;
    }
    // A server that only had no token for the request may have one soon.
    const bool is_over_limit =
        result.end == exchange_end::withheld && record->limit.is_limited(now);
    m_booking.reset();
    if (is_over_limit && m_books_place && result.limit_wait)
    {
        m_booking = place_booking{record, m_state.limit_sender_run(*record),
                                  now + *result.limit_wait};
    }
    // So may one that had no room.
    if (!is_cut_off && !is_over_limit && !is_rejection(result))
    {
        m_excluded_servers.insert(record->entry.id);
    }
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
        // What is known of its parts may have changed while it waited.
        refuse_crashing_part();
        exchange_result result = co_await attempt(record);
        const bool is_cut_off = co_await m_observer.end(result, m_copy);
        if (m_state.waiting.size() > 0)
        {
            m_state.waiting.wake_all();
        }
        if (!m_is_caller_gone &&
            is_repeated_elsewhere(result, *record, is_cut_off))
        {
            continue;
        }
        // The host that sends to a limited server only told when it can.
        const bool is_asked =
            result.limit_wait && *result.limit_wait > milliseconds(0);
        m_sends += is_asked ? 0 : 1;
        if (m_progress.first_event_at)
        {
            m_first_byte_deadline =
                std::min(m_deadline, m_progress.last_event_at +
                                         m_route->first_byte_timeout);
        }
        if (!is_asked)
        {
            m_attempted_addresses.insert(record->entry.address);
        }
        if (m_is_caller_gone || !prepare_retry(result, record, is_cut_off))
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
    constexpr unsigned least_error = 400;
    if (outcome != "caller-gone" && status < least_error)
    {
        const auto took =
            m_progress.first_event_at
                ? std::chrono::duration_cast<milliseconds>(
                      *m_progress.first_event_at - m_first_arrived)
                : time_since(m_first_arrived);
        const milliseconds target = m_route->target_latency;
        m_state.metrics.count_class(
            priority(),
            target.count() > 0 && took > target ? "late" : "in-target");
    }
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
