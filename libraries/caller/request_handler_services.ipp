#pragma once

// The part of the request handler that serves plain services.

namespace cicadahub::caller
{

template<control_gateway Control>
net::awaitable<void>
request_handler<Control>::serve_service(http::request& message,
                                        http::reply_writer& reply)
{
    constexpr std::string_view prefix = "/services/";
    const std::string_view rest =
        http::path_of(message.target()).substr(prefix.size());
    const std::string_view name = rest.substr(0, rest.find('/'));
    const auto configuration = m_configuration.current();
    const auto* route = configuration->find(route_id(std::string(name)));
    if (route == nullptr)
    {
        throw refused_error({refusal_kind::unknown_route});
    }
    configuration::caller_key key;
    if (!route->is_open)
    {
        key = authenticate(message);
    }
    admitted_request it = admit(message, route->work_class, key);
    const std::string target =
        "/" + std::string(rest.substr(std::min(name.size() + 1, rest.size())));
    const http::request out = make_forwarded_request(message, target);
    const std::string idempotency_key(message[idempotency_header]);
    try
    {
        if (!route->is_idempotent && !idempotency_key.empty())
        {
            co_await run_service_at_most_once(*route, idempotency_key, out,
                                              reply, it);
        }
        else
        {
            co_await run_service(*route, out, reply, it);
        }
    }
    catch (const refused_error& reason)
    {
        m_request_counter.count_refused(it.counts_key, reason.reason().kind);
        throw;
    }
}

template<control_gateway Control>
net::awaitable<void> request_handler<Control>::run_service(
    const configuration::service_route& route, const http::request& message,
    http::reply_writer& reply, admitted_request& it)
{
    using backend::relay_end;
    std::vector<server_id> excluded;
    for (int attempt = 0; attempt < attempt_limit; ++attempt)
    {
        const auto target = choose_service_target(route, excluded);
        if (!target)
        {
            throw refused_error(
                {refusal_kind::no_capacity, !it.has_run, no_capacity_retry});
        }
        // A call that is not idempotent always uses a new connection, so that
        // a stale one cannot leave its outcome unknown.
        const backend::relay_result result = co_await relay_attempt(
            *target, message, reply, it, backend::backend_kind::plain_service,
            !route.is_idempotent);
        if (result.end == relay_end::complete)
        {
            count_completed(it, result);
            co_return;
        }
        excluded.push_back(target->server);
        if (result.end == relay_end::not_sent)
        {
            m_metrics.count_retry();
            continue;
        }
        it.has_run = true;
        if (!route.is_idempotent &&
            result.end == relay_end::failed_before_answer)
        {
            throw refused_error({refusal_kind::outcome_unknown, false});
        }
        if (result.end != relay_end::failed_before_answer)
        {
            fail_request(it, result, reply);
        }
        m_metrics.count_retry();
    }
    throw refused_error({refusal_kind::backend_failed, !it.has_run});
}

template<control_gateway Control>
net::awaitable<void> request_handler<Control>::run_service_at_most_once(
    const configuration::service_route& route, const std::string& key,
    const http::request& message, http::reply_writer& reply,
    admitted_request& it)
{
    using backend::relay_end;
    const once::intent_key intent(it.counts_key.second.value() + "/" +
                                  route.id.value() + "/" + key);
    const once::fingerprint request_fingerprint(
        sha256_hex(std::string(message.method_string()) + " " +
                   std::string(message.target()) + "\n" + message.body()));
    const once::attempt_id attempt(random_hex(attempt_id_bytes));
    const once::dispatch_decision permission =
        co_await m_control.request_dispatch(intent, request_fingerprint,
                                            attempt, it.deadline);
    if (permission.verdict != once::dispatch_verdict::may_dispatch)
    {
        co_await replay(permission, reply);
        co_return;
    }
    std::vector<server_id> excluded;
    for (;;)
    {
        const auto target = choose_service_target(route, excluded);
        if (!target)
        {
            m_control.report_outcome(intent, attempt, std::nullopt, true);
            throw refused_error(
                {refusal_kind::no_capacity, true, no_capacity_retry});
        }
        backend::relay_result result =
            co_await relay_and_buffer(*target, message, reply, it);
        if (result.end == relay_end::not_sent)
        {
            excluded.push_back(target->server);
            continue;
        }
        it.has_run = true;
        if (result.end != relay_end::complete)
        {
            m_control.report_outcome(intent, attempt, std::nullopt, false);
            throw refused_error({refusal_kind::outcome_unknown, false});
        }
        if (!result.buffered_answer)
        {
            // A stream has gone to the caller as it arrived; it is not saved.
            m_control.report_outcome(intent, attempt, std::nullopt, false);
            count_completed(it, result);
            co_return;
        }
        const http::response& buffered_answer = *result.buffered_answer;
        once::saved_answer answer{
            buffered_answer.result_int(),
            std::string(buffered_answer[http::field::content_type]),
            buffered_answer.body()};
        m_control.report_outcome(intent, attempt, std::move(answer), false);
        count_completed(it, result);
        co_await reply.send(std::move(*result.buffered_answer));
        co_return;
    }
}

template<control_gateway Control>
net::awaitable<backend::relay_result>
request_handler<Control>::relay_and_buffer(const routing::target& target,
                                           const http::request& message,
                                           http::reply_writer& reply,
                                           const admitted_request& it)
{
    routing::load_guard guard(target.load);
    backend::answer_relay relay(m_pool, m_limits,
                                backend::backend_kind::plain_service);
    relay.buffer_answer();
    running_requests::registration registration(m_running, it.hash,
                                                [&relay] { relay.cancel(); });
    auto result =
        co_await relay.run(http::parse_endpoint(target.address), message, reply,
                           {true, it.has_own_request_id});
    log_attempt(target.server, message, result);
    co_return result;
}

template<control_gateway Control>
std::optional<routing::target> request_handler<Control>::choose_service_target(
    const configuration::service_route& route,
    const std::vector<server_id>& excluded)
{
    const auto& routes = m_routes.current();
    const auto at = routes->services.find(route.id);
    if (at == routes->services.end())
    {
        return std::nullopt;
    }
    const routing::target* found = routing::least_loaded(at->second, excluded);
    return found == nullptr ? std::nullopt : std::optional(*found);
}

template<control_gateway Control>
net::awaitable<void>
request_handler<Control>::replay(const once::dispatch_decision& result,
                                 http::reply_writer& reply)
{
    switch (result.verdict)
    {
    case once::dispatch_verdict::running:
        throw refused_error(
            {refusal_kind::request_running, false, running_retry});
    case once::dispatch_verdict::outcome_unknown:
        throw refused_error({refusal_kind::outcome_unknown, false});
    case once::dispatch_verdict::other_request:
        throw refused_error({refusal_kind::key_reused});
    case once::dispatch_verdict::not_written:
    case once::dispatch_verdict::may_dispatch:
        throw refused_error({refusal_kind::not_ready, true, no_capacity_retry});
    case once::dispatch_verdict::answered:
        break;
    }
    http::response it{static_cast<http::status>(result.answer->status), 11};
    it.set(http::field::content_type, result.answer->content_type);
    it.set("Idempotency-Replayed", "true");
    it.body() = result.answer->body;
    it.prepare_payload();
    co_await reply.send(std::move(it));
}

} // namespace cicadahub::caller
