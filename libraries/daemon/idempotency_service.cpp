#include "daemon/idempotency_service.hpp"

#include "core/event_log.hpp"
#include "daemon/ledger_document.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadahub::daemon
{

namespace
{

constexpr milliseconds tick_pause{200};
constexpr milliseconds adopt_retry{100};
constexpr milliseconds call_timeout{2'000};
constexpr milliseconds call_retry_pause{50};
constexpr milliseconds outcome_retry_pause{200};
constexpr int outcome_attempts = 50;

/// A longer answer is not saved for repeated requests.
constexpr std::size_t max_saved_body_bytes = 16 * 1024;

using once::dispatch_verdict;
using wire_status = fleet::wire::IntentStatus;

wire_status::type to_wire(dispatch_verdict it)
{
    switch (it)
    {
    case dispatch_verdict::may_dispatch:
        return wire_status::MAY_DISPATCH;
    case dispatch_verdict::running:
        return wire_status::RUNNING;
    case dispatch_verdict::answered:
        return wire_status::ANSWERED;
    case dispatch_verdict::outcome_unknown:
        return wire_status::OUTCOME_UNKNOWN;
    case dispatch_verdict::other_request:
        return wire_status::OTHER_REQUEST;
    case dispatch_verdict::not_written:
        break;
    }
    return wire_status::NOT_WRITTEN;
}

dispatch_verdict from_wire(wire_status::type it)
{
    switch (it)
    {
    case wire_status::MAY_DISPATCH:
        return dispatch_verdict::may_dispatch;
    case wire_status::RUNNING:
        return dispatch_verdict::running;
    case wire_status::ANSWERED:
        return dispatch_verdict::answered;
    case wire_status::OUTCOME_UNKNOWN:
        return dispatch_verdict::outcome_unknown;
    case wire_status::OTHER_REQUEST:
        return dispatch_verdict::other_request;
    default:
        return dispatch_verdict::not_written;
    }
}

fleet::wire::SavedAnswer to_wire(const once::saved_answer& it)
{
    fleet::wire::SavedAnswer saved;
    saved.status = static_cast<std::int32_t>(it.status);
    saved.content_type = it.content_type;
    saved.body = it.body;
    return saved;
}

once::saved_answer from_wire(const fleet::wire::SavedAnswer& it)
{
    return {static_cast<unsigned>(it.status), it.content_type, it.body};
}

} // namespace

idempotency_service::idempotency_service(net::io_context& context,
                                         platform::store& store,
                                         const shard_elector& shard,
                                         const shard_client& client,
                                         once::ledger_timing timing)
    : m_context(context), m_store(store), m_shard(shard),
      m_shard_client(client), m_ledger(timing)
{
}

bool idempotency_service::is_current(epoch_number epoch) const
{
    return m_epoch == epoch && m_shard.is_held();
}

void idempotency_service::on_won(epoch_number epoch)
{
    m_epoch = epoch;
    net::co_spawn(m_context, adopt(), net::detached);
}

void idempotency_service::on_lost()
{
    m_epoch = epoch_number();
    execute(m_ledger.on_lost());
}

net::awaitable<void> idempotency_service::adopt()
{
    const epoch_number epoch = m_epoch;
    const std::string name = m_shard.shard().value();
    while (is_current(epoch))
    {
        bool is_read = false;
        once::ledger_document content;
        try
        {
            auto stored =
                co_await m_store.read(platform::collection::intents, name);
            if (stored)
            {
                content = ledger_from_json(stored->spec);
            }
            else
            {
                stored.emplace();
                stored->name = name;
            }
            m_stored = std::move(*stored);
            is_read = true;
        }
        catch (const platform::platform_error&)
        {
            // Retried as long as the shard is held.
        }
        if (is_read && is_current(epoch))
        {
            execute(
                m_ledger.on_adopted(content, epoch, monotonic_clock::now()));
            net::co_spawn(m_context, tick_loop(epoch), net::detached);
            co_return;
        }
        co_await pause(m_context, adopt_retry);
    }
}

net::awaitable<void> idempotency_service::tick_loop(epoch_number epoch)
{
    while (is_current(epoch) && m_ledger.is_owner())
    {
        execute(m_ledger.on_tick(monotonic_clock::now()));
        co_await pause(m_context, tick_pause);
    }
}

void idempotency_service::execute(const once::action_list& actions)
{
    for (const once::action& it : actions)
    {
        std::visit([this](const auto& action) { execute(action); }, it);
    }
}

void idempotency_service::execute(const once::write_action& it)
{
    net::co_spawn(m_context, write(it), net::detached);
}

void idempotency_service::execute(const once::reply_action& it)
{
    const auto at = m_pending_intents.find(it.ticket);
    if (at != m_pending_intents.end())
    {
        at->second->result = it.result;
        at->second->timer.cancel();
    }
}

net::awaitable<void> idempotency_service::write(once::write_action it)
{
    const epoch_number epoch = m_epoch;
    if (!is_current(epoch))
    {
        co_return;
    }
    const platform::write_result result = co_await m_store.write(
        platform::collection::intents, m_stored, to_json(it.content));
    if (!is_current(epoch))
    {
        co_return;
    }
    if (result.outcome != platform::write_outcome::applied)
    {
        // The stored ledger is unknown: read it again before permitting any
        // further dispatch.
        on_lost();
        m_epoch = epoch;
        co_await adopt();
        co_return;
    }
    m_stored.version = result.version;
    execute(m_ledger.on_committed(it.sequence, monotonic_clock::now()));
}

net::awaitable<fleet::wire::Body>
idempotency_service::on_intent_request(fleet::wire::IntentRequest request)
{
    const std::uint64_t ticket = m_next_ticket++;
    auto pending = std::make_shared<pending_intent>(m_context);
    m_pending_intents.emplace(ticket, pending);
    execute(m_ledger.on_dispatch_request(ticket, once::intent_key(request.key),
                                         once::fingerprint(request.fingerprint),
                                         once::attempt_id(request.attempt),
                                         monotonic_clock::now()));
    if (!pending->result)
    {
        pending->timer.expires_after(call_timeout);
        co_await pending->timer.async_wait(no_throw);
    }
    m_pending_intents.erase(ticket);
    fleet::wire::IntentReply reply;
    reply.status = wire_status::NOT_WRITTEN;
    // Permission to dispatch has an outside effect, so it is granted only while
    // the shard is held.
    if (pending->result && m_shard.is_held())
    {
        reply.status = to_wire(pending->result->verdict);
        if (pending->result->answer)
        {
            reply.__set_answer(to_wire(*pending->result->answer));
        }
    }
    fleet::wire::Body body;
    body.__set_intent_reply(reply);
    co_return body;
}

fleet::wire::Body idempotency_service::on_outcome_request(
    const fleet::wire::OutcomeRequest& request)
{
    std::optional<once::saved_answer> answer;
    if (request.__isset.answer)
    {
        answer = from_wire(request.answer);
    }
    fleet::wire::OutcomeReply reply;
    reply.is_written = m_ledger.is_owner();
    execute(m_ledger.on_outcome(
        once::intent_key(request.key), once::attempt_id(request.attempt),
        std::move(answer), request.is_not_run, monotonic_clock::now()));
    fleet::wire::Body body;
    body.__set_outcome_reply(reply);
    return body;
}

net::awaitable<once::dispatch_decision> idempotency_service::request_dispatch(
    once::intent_key key, once::fingerprint request, once::attempt_id attempt,
    time_point deadline)
{
    fleet::wire::IntentRequest intent_request;
    intent_request.key = key.value();
    intent_request.fingerprint = request.value();
    intent_request.attempt = attempt.value();
    while (monotonic_clock::now() < deadline)
    {
        fleet::wire::Body body;
        body.__set_intent_request(intent_request);
        const auto reply = co_await m_shard_client.call(
            m_shard, std::move(body), call_timeout);
        if (reply && reply->intent_reply.status != wire_status::NOT_WRITTEN)
        {
            once::dispatch_decision result;
            result.verdict = from_wire(reply->intent_reply.status);
            if (reply->intent_reply.__isset.answer)
            {
                result.answer = from_wire(reply->intent_reply.answer);
            }
            co_return result;
        }
        co_await pause(m_context, call_retry_pause);
    }
    co_return once::dispatch_decision{dispatch_verdict::not_written,
                                      std::nullopt};
}

net::awaitable<void> idempotency_service::report_outcome(
    once::intent_key key, once::attempt_id attempt,
    std::optional<once::saved_answer> answer, bool is_not_run)
{
    fleet::wire::OutcomeRequest request;
    request.key = key.value();
    request.attempt = attempt.value();
    request.is_not_run = is_not_run;
    // A longer answer is not saved: a repeated request is refused as having an
    // unknown outcome, rather than given a truncated answer.
    if (answer && answer->body.size() <= max_saved_body_bytes)
    {
        request.__set_answer(to_wire(*answer));
    }
    for (int n = 0; n < outcome_attempts; ++n)
    {
        fleet::wire::Body body;
        body.__set_outcome_request(request);
        const auto reply = co_await m_shard_client.call(
            m_shard, std::move(body), call_timeout);
        if (reply && reply->outcome_reply.is_written)
        {
            co_return;
        }
        co_await pause(m_context, outcome_retry_pause);
    }
}

} // namespace cicadahub::daemon
