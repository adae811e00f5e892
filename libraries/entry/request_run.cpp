#include "entry/request_run.hpp"

#include "core/digest.hpp"
#include "core/errors.hpp"
#include "core/structured_log.hpp"

#include <random>

namespace cicadahub::entry
{

namespace
{

/// Longest time between two looks at what a request waits for.
constexpr milliseconds look_period{250};
/// What a request needs at least, once it has a server, to be worth sending.
constexpr milliseconds least_work{50};
/// Sends that ended without a run, after which a request is refused.
constexpr std::uint32_t unrun_limit = 3;
/// Besides the load itself: order, report and the way to the server.
constexpr milliseconds load_overhead{300};
/// Weight of one request in the mean of the prompt tokens.
constexpr double mean_weight = 0.02;
/// Enough that two requests of a deployment never share a fingerprint.
constexpr std::size_t fingerprint_digits = 24;
constexpr milliseconds starting_retry{500};
constexpr milliseconds full_retry{250};

milliseconds waited(time_point since)
{
    return std::chrono::duration_cast<milliseconds>(monotonic_clock::now() -
                                                    since);
}

std::size_t pick_by_weight(const std::vector<serving::service_share>& shares)
{
    std::uint32_t sum = 0;
    for (const serving::service_share& it : shares)
    {
        sum += it.weight;
    }
    thread_local std::mt19937 random{std::random_device{}()};
    std::uint32_t at = std::uniform_int_distribution<std::uint32_t>(
        0, std::max(1U, sum) - 1)(random);
    for (std::size_t n = 0; n < shares.size(); ++n)
    {
        if (at < shares[n].weight)
        {
            return n;
        }
        at -= shares[n].weight;
    }
    return 0;
}

} // namespace

request_run::request_run(entry_state& state, const server_dialect& servers,
                         const http::request& message, serving::request request,
                         http::reply_writer& reply)
    : m_state(state), m_servers(servers), m_message(message),
      m_request(std::move(request)), m_reply(reply),
      m_configuration(state.configuration), m_arrived(monotonic_clock::now()),
      m_exchange(state.pool, servers), m_waiter(state.waiting.make_waiter())
{
}

bool request_run::is_stream() const
{
    return m_route->kind == serving::request_kind::stream;
}

void request_run::refuse(refusal_kind kind, milliseconds retry_after)
{
    m_state.metrics.count_refusal(kind);
    log_event(
        severity::warning, event_number::request_refused,
        {{"request", m_request.id.value()},
         {"route", m_route == nullptr ? std::string() : m_route->name.value()},
         {"model", m_request.model ? m_request.model->value() : std::string()},
         {"reason", cicadahub::name_of(kind)},
         {"sends", m_sends},
         {"runs", m_runs},
         {"after_ms", waited(m_arrived).count()},
         {"retry_after_ms", retry_after.count()},
         {"configuration", m_configuration ? m_configuration->version : 0}});
    throw refused_error({kind, m_runs == 0, retry_after});
}

net::awaitable<void> request_run::serve()
{
    if (!m_configuration || !m_state.has_servers ||
        m_arrived >= m_state.last_taken_at)
    {
        refuse(refusal_kind::not_ready, starting_retry);
    }
    find_route();
    authenticate();
    choose_service();
    const auto patience = m_request.patience.value_or(m_route->timeout);
    m_deadline = m_arrived + std::min(patience, m_route->timeout);
    m_first_byte_by =
        std::min(m_deadline, m_arrived + m_route->first_byte_patience);
    // A connection that takes no more bytes must not hold the request longer
    // than its caller waits.
    m_reply.limit_writes(time_left(m_arrived));
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

void request_run::find_route()
{
    m_route = m_configuration->find_route(m_request.host, m_request.path);
    if (m_route == nullptr)
    {
        refuse(refusal_kind::unknown_route, {});
    }
}

void request_run::authenticate()
{
    if (m_configuration->organisations.empty() || m_route->is_public)
    {
        return;
    }
    if (m_request.key)
    {
        m_organisation = m_configuration->find_holder(*m_request.key);
    }
    if (m_organisation == nullptr)
    {
        refuse(refusal_kind::unauthenticated, {});
    }
}

void request_run::charge()
{
    if (m_organisation == nullptr)
    {
        return;
    }
    std::int64_t cost = 1;
    if (m_organisation->counts_tokens)
    {
        cost = m_request.tokens
                   ? m_request.tokens->prompt + m_request.tokens->output_limit
                   : m_organisation->plain_cost;
    }
    m_state.demand.on_tokens(m_organisation->name, cost, m_arrived);
    const auto rate = m_state.rates.find(m_organisation->name);
    if (rate == m_state.rates.end())
    {
        return;
    }
    if (const auto wait = rate->second.charge(cost, m_arrived))
    {
        refuse(refusal_kind::over_rate, *wait);
    }
}

void request_run::refuse_suspect()
{
    std::string text(m_message.method_string());
    text.append(" ").append(m_message.target()).append(" ");
    text += m_organisation == nullptr ? std::string()
                                      : m_organisation->name.value();
    text.append(" ").append(m_message.body());
    m_fingerprint =
        suspicion::fingerprint(sha256_hex(text).substr(0, fingerprint_digits));
    if (m_state.suspects.is_refused(m_fingerprint))
    {
        refuse(refusal_kind::suspect_request, {});
    }
}

void request_run::note_crash(const exchange_result& result)
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
    m_state.tell_soon();
    log_event(severity::warning, event_number::request_suspected,
              {{"request", m_request.id.value()},
               {"fingerprint", m_fingerprint.value()},
               {"crashes", crashes}});
}

void request_run::choose_service()
{
    const auto& share = m_route->services[pick_by_weight(m_route->services)];
    m_service = m_configuration->find_service(share.service);
    if (m_service == nullptr)
    {
        refuse(refusal_kind::no_capacity, starting_retry);
    }
    m_state.repeats_of(m_service->name).on_request(m_arrived);
    if (!m_service->engine || !m_request.model)
    {
        return;
    }
    m_copy = replicas::copy_name{*m_request.model, m_request.adapter};
    if (!m_service->engine->models.contains(m_copy->model))
    {
        refuse(refusal_kind::no_capacity, starting_retry);
    }
    m_state.demand.on_request(*m_copy, m_arrived);
    m_affinity.key = m_request.model->value();
    for (std::size_t n = 0; n + 1 < m_request.prompt.size(); ++n)
    {
        m_affinity.key += '/' + m_request.prompt[n].id;
        m_affinity.shared_tokens += m_request.prompt[n].tokens;
    }
    if (m_request.tokens)
    {
        m_state.mean_prompt_tokens +=
            mean_weight * (static_cast<double>(m_request.tokens->prompt) -
                           m_state.mean_prompt_tokens);
    }
}

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
                                                     m_state.mean_prompt_tokens)
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
                m_state.metrics.observe_wait(waited(began), estimate);
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

net::awaitable<exchange_result>
request_run::attempt(const server_table::record_pointer& record)
{
    const running_guard guard(record, m_copy ? std::optional(m_copy->model)
                                             : std::nullopt);
    const time_point now = monotonic_clock::now();
    forwarding added;
    added.server = record->entry.id;
    if (m_organisation != nullptr)
    {
        added.organisation = m_organisation->name;
    }
    added.time_left = std::max(time_left(now), milliseconds(1));
    added.after_event = m_progress.last_event;
    ++m_sends;
    exchange_result result =
        co_await m_exchange.run(record->entry.address, m_message, added,
                                m_request.id, m_reply, m_progress, m_deadline);
    log_attempt(result, *record, now);
    co_return result;
}

void request_run::log_attempt(const exchange_result& result,
                              const server_record& record,
                              time_point sent_at) const
{
    m_state.metrics.count_attempt(name_of(result.end), waited(sent_at));
    log_event(severity::info, event_number::request_attempted,
              {{"request", m_request.id.value()},
               {"server", record.entry.id.value()},
               {"end", name_of(result.end)},
               {"status", result.answer ? result.answer->result_int() : 0},
               {"running", record.running},
               {"running_elsewhere", record.running_elsewhere},
               {"took_ms", waited(sent_at).count()},
               {"reason", result.reason}});
}

void request_run::judge(const exchange_result& result, server_record& record)
{
    const time_point now = monotonic_clock::now();
    if (result.end == exchange_end::not_here && m_copy)
    {
        record.on_absent(*m_copy);
    }
    const bool is_server_error =
        result.answer && result.answer->result_int() >= 500 &&
        result.answer->result() != http::status::gateway_timeout;
    bool is_suspended = false;
    if (result.end == exchange_end::not_sent)
    {
        record.health.on_unreachable(now);
        is_suspended = true;
    }
    else if (result.end == exchange_end::failed || is_server_error)
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

bool request_run::may_repeat(const exchange_result& result) const
{
    const bool is_server_error =
        result.answer && result.answer->result_int() >= 500 &&
        result.answer->result() != http::status::gateway_timeout;
    if (result.end != exchange_end::failed && !is_server_error)
    {
        return false;
    }
    const bool is_repeatable =
        m_route->kind == serving::request_kind::repeatable ||
        (is_stream() && m_route->is_resumable);
    return is_repeatable && m_runs < m_route->server_limit;
}

bool request_run::may_go_on(const exchange_result& result,
                            const server_table::record_pointer& record)
{
    const time_point now = monotonic_clock::now();
    const bool is_unrun = result.end == exchange_end::not_sent ||
                          result.end == exchange_end::turned_away ||
                          result.end == exchange_end::not_here;
    if (!is_unrun)
    {
        ++m_runs;
    }
    const bool may = is_unrun ? m_sends - m_runs < unrun_limit
                              : may_repeat(result) &&
                                    !m_state.suspects.is_refused(m_fingerprint);
    if (!may || time_left(now) < least_work)
    {
        return false;
    }
    m_passed_over.insert(record->entry.id);
    // What never left this host is no repeat to any server.
    return result.end == exchange_end::not_sent ||
           m_state.repeats_of(m_service->name).take(now);
}

net::awaitable<void> request_run::attempt_until_answered()
{
    while (true)
    {
        const auto record = co_await wait_for_server();
        if (!record)
        {
            note_end("caller-gone");
            co_return;
        }
        exchange_result result = co_await attempt(record);
        judge(result, *record);
        note_crash(result);
        if (m_state.waiting.size() > 0)
        {
            m_state.waiting.wake_all();
        }
        if (m_is_caller_gone || !may_go_on(result, record))
        {
            co_await finish(std::move(result));
            co_return;
        }
    }
}

net::awaitable<void> request_run::finish(exchange_result result)
{
    m_reply.stop_watching_caller();
    switch (result.end)
    {
    case exchange_end::streamed:
        note_end("streamed");
        co_return;
    case exchange_end::answered:
        if (!m_progress.has_head)
        {
            note_end("answered");
            co_await m_reply.send(std::move(*result.answer));
            co_return;
        }
        refuse(refusal_kind::backend_failed, {});
    case exchange_end::caller_gone:
        note_end("caller-gone");
        m_reply.abort_stream();
        co_return;
    case exchange_end::not_sent:
    case exchange_end::turned_away:
    case exchange_end::not_here:
        if (m_runs == 0)
        {
            refuse(refusal_kind::no_capacity, full_retry);
        }
        refuse(refusal_kind::backend_failed, {});
    case exchange_end::failed:
        refuse(refusal_kind::backend_failed, {});
    case exchange_end::out_of_time:
        refuse(refusal_kind::outcome_unknown, {});
    }
}

void request_run::note_end(std::string_view outcome) const
{
    m_state.metrics.count_answer(outcome, waited(m_arrived));
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
               {"sends", m_sends},
               {"runs", m_runs},
               {"took_ms", waited(m_arrived).count()},
               {"configuration", m_configuration->version}});
}

} // namespace cicadahub::entry
