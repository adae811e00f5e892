#pragma once

namespace cicadahub::caller
{

template<control_gateway Control>
request_handler<Control>::request_handler(
    net::io_context& context, published_state& state, Control& control,
    prometheus::Registry& registry, request_metrics& metrics,
    concurrency_limiter_table& limiters, http::client_pool& pool,
    backend::relay_limits limits)
    : m_context(context), m_state(state), m_control(control),
      m_registry(registry), m_metrics(metrics), m_limiters(limiters),
      m_pool(pool), m_limits(limits), m_configuration(state.configuration),
      m_routes(state.routes),
      m_request_id_prefix(random_hex(request_id_prefix_bytes) + "-")
{
}

template<control_gateway Control>
net::awaitable<void> request_handler<Control>::serve(http::request& message,
                                                     http::reply_writer& reply)
{
    try
    {
        co_await serve_path(message, reply);
    }
    catch (const refused_error& it)
    {
        m_metrics.count_refused(it.reason().kind);
        throw;
    }
}

template<control_gateway Control>
net::awaitable<void>
request_handler<Control>::serve_path(http::request& message,
                                     http::reply_writer& reply)
{
    const std::string_view path = http::path_of(message.target());
    const bool is_ready = m_state.is_ready && !m_state.is_draining;
    if (path == "/healthz")
    {
        co_await reply.send(http::json_response(http::status::ok, "{}"));
    }
    else if (path == "/readyz")
    {
        co_await reply.send(http::json_response(
            is_ready ? http::status::ok : http::status::service_unavailable,
            is_ready ? R"({"ready":true})" : R"({"ready":false})"));
    }
    else if (path == "/metrics")
    {
        co_await serve_metrics(reply);
    }
    else if (!m_state.is_ready)
    {
        throw refused_error(
            {refusal_kind::not_ready, true, milliseconds(1'000)});
    }
    else if (path == "/v1/models")
    {
        co_await serve_models(message, reply);
    }
    else if (path == "/v1/completions" || path == "/v1/chat/completions")
    {
        co_await serve_completion(message, reply);
    }
    else if (path.starts_with("/services/"))
    {
        co_await serve_service(message, reply);
    }
    else
    {
        throw refused_error({refusal_kind::unknown_path});
    }
}

template<control_gateway Control>
net::awaitable<void>
request_handler<Control>::serve_metrics(http::reply_writer& reply)
{
    prometheus::TextSerializer serializer;
    co_await reply.send(
        http::metrics_response(serializer.Serialize(m_registry.Collect())));
}

template<control_gateway Control>
configuration::caller_key
request_handler<Control>::authenticate(const http::request& message)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view field = message[http::field::authorization];
    if (!field.starts_with(scheme) || field.size() == scheme.size())
    {
        throw refused_error({refusal_kind::unauthenticated});
    }
    const std::string_view key = field.substr(scheme.size());
    const auto& configuration = m_configuration.current();
    const auto* found = configuration->find_key(hash_of_key(key));
    if (found == nullptr || !configuration->find(found->organisation))
    {
        throw refused_error({refusal_kind::unauthenticated});
    }
    if (message.body().find(key) != std::string::npos ||
        message.target().find(key) != std::string_view::npos)
    {
        throw refused_error({refusal_kind::key_in_body});
    }
    return *found;
}

template<control_gateway Control>
typename request_handler<Control>::admitted_request
request_handler<Control>::admit(const http::request& message,
                                const class_id& work_class,
                                const configuration::caller_key& key)
{
    const auto& configuration = m_configuration.current();
    const auto* found = configuration->find(work_class);
    if (found == nullptr)
    {
        throw refused_error({refusal_kind::unknown_class});
    }
    admitted_request it;
    it.arrival = monotonic_clock::now();
    it.deadline = it.arrival + found->first_token_within;
    it.hash = key.hash;
    it.has_own_request_id = message[backend::request_id_header].empty();
    it.counts_key = {work_class, key.organisation};
    return it;
}

template<control_gateway Control>
http::request
request_handler<Control>::make_forwarded_request(const http::request& message,
                                                 std::string_view target)
{
    // Only the fields that the server needs are forwarded, so that no server
    // ever sees a caller's key.
    http::request it{message.method(), target, 11};
    it.set(http::field::host, "backend");
    const auto type = message.find(http::field::content_type);
    if (type != message.end())
    {
        it.set(http::field::content_type, type->value());
    }
    const std::string_view id = message[backend::request_id_header];
    it.set(backend::request_id_header,
           id.empty() ? make_request_id() : std::string(id));
    it.body() = message.body();
    it.prepare_payload();
    return it;
}

template<control_gateway Control>
std::string request_handler<Control>::make_request_id()
{
    return m_request_id_prefix + std::to_string(++m_last_request_id);
}

template<control_gateway Control>
net::awaitable<void>
request_handler<Control>::serve_models(const http::request& message,
                                       http::reply_writer& reply)
{
    authenticate(message);
    boost::json::array data;
    const auto add = [&](const model_id& id)
    {
        data.push_back({{"id", id.value()},
                        {"object", "model"},
                        {"owned_by", "cicadahub"}});
    };
    const auto configuration = m_configuration.current();
    for (const auto& [id, it] : configuration->models())
    {
        add(id);
    }
    for (const auto& [id, it] : configuration->adapters())
    {
        add(id);
    }
    const boost::json::object list{{"object", "list"}, {"data", data}};
    co_await reply.send(
        http::json_response(http::status::ok, boost::json::serialize(list)));
}

template<control_gateway Control>
net::awaitable<void>
request_handler<Control>::serve_completion(http::request& message,
                                           http::reply_writer& reply)
{
    const configuration::caller_key key = authenticate(message);
    if (message.method() != http::verb::post)
    {
        throw refused_error({refusal_kind::method_not_allowed});
    }
    const completion_request parsed = parse_completion(message.body());
    const auto& configuration = m_configuration.current();
    if (!configuration->find_model(parsed.model) &&
        !configuration->find_adapter(parsed.model))
    {
        throw refused_error({refusal_kind::unknown_model});
    }
    const auto named = message.find(class_header);
    const class_id work_class(named == message.end()
                                  ? std::string(default_class)
                                  : std::string(named->value()));
    admitted_request it = admit(message, work_class, key);
    const http::request out =
        make_forwarded_request(message, http::path_of(message.target()));
    try
    {
        refuse_poison_request(out, it);
        it.cost = parsed.expected_tokens;
        co_await charge(parsed.expected_tokens, it);
        co_await run_completion(parsed.model, out, reply, it);
    }
    catch (const refused_error& reason)
    {
        m_request_counter.count_refused(it.counts_key, reason.reason().kind);
        throw;
    }
}

template<control_gateway Control>
net::awaitable<void>
request_handler<Control>::charge(token_count tokens, const admitted_request& it)
{
    const organisation_id& organisation = it.counts_key.second;
    if (m_control.rates().try_spend(organisation, tokens))
    {
        co_return;
    }
    const auto reason =
        co_await m_control.spend(organisation, tokens, it.deadline);
    if (reason)
    {
        throw refused_error(*reason);
    }
}

template<control_gateway Control>
suspicion::fingerprint
request_handler<Control>::fingerprint_of(const http::request& message) const
{
    return suspicion::fingerprint(
        sha256_hex(std::string(message.target()) + "\n" + message.body()));
}

template<control_gateway Control>
void request_handler<Control>::refuse_poison_request(
    const http::request& message, const admitted_request& it) const
{
    shared_suspect_table& suspects = m_control.suspects();
    if (!suspects.is_empty() && suspects.is_refused(fingerprint_of(message)))
    {
        throw refused_error({refusal_kind::suspect_request, !it.has_run});
    }
}

template<control_gateway Control>
net::awaitable<void>
request_handler<Control>::on_crash(const http::request& message,
                                   const admitted_request& it)
{
    // Notify the other daemons before this one retries or answers.
    co_await m_control.report_crash(fingerprint_of(message));
    refuse_poison_request(message, it);
}

template<control_gateway Control>
net::awaitable<routing::target>
request_handler<Control>::find_target(const model_id& model,
                                      const std::vector<server_id>& excluded,
                                      const admitted_request& it)
{
    const auto routes = m_routes.current();
    const auto at = routes->models.find(model);
    if (at != routes->models.end())
    {
        const auto* found = routing::least_loaded(at->second, excluded);
        if (found != nullptr)
        {
            co_return *found;
        }
    }
    m_metrics.count_wake();
    const wake_answer answer = co_await m_control.wake(model, it.deadline);
    if (const auto* reason = std::get_if<refusal>(&answer))
    {
        refusal final = *reason;
        final.is_not_run = !it.has_run;
        throw refused_error(final);
    }
    const auto newer = m_routes.current();
    const auto server = newer->servers.find(std::get<server_id>(answer));
    if (server == newer->servers.end())
    {
        throw refused_error({refusal_kind::no_capacity, !it.has_run});
    }
    co_return server->second;
}

template<control_gateway Control>
net::awaitable<backend::relay_result> request_handler<Control>::relay_attempt(
    const routing::target& target, const http::request& message,
    http::reply_writer& reply, const admitted_request& it,
    backend::backend_kind kind, bool use_new_connection)
{
    const auto limiter = m_limiters.limiter_of(target.server);
    admission::waiting_request waiting;
    waiting.organisation = it.counts_key.second;
    waiting.deadline = it.deadline;
    waiting.bytes = static_cast<std::int64_t>(message.body().size());
    waiting.cost = it.cost.value();
    const auto refused =
        co_await limiter->acquire(m_context, waiting, target.slots);
    if (refused)
    {
        refusal reason = *refused;
        reason.is_not_run = !it.has_run;
        throw refused_error(reason);
    }
    const slot_guard slot(limiter);
    const routing::load_guard guard(target.load);
    backend::answer_relay relay(m_pool, m_limits, kind);
    running_requests::registration registration(m_running, it.hash,
                                                [&relay] { relay.cancel(); });
    auto result =
        co_await relay.run(http::parse_endpoint(target.address), message, reply,
                           {use_new_connection, it.has_own_request_id});
    log_attempt(target.server, message, result);
    co_return result;
}

template<control_gateway Control>
void request_handler<Control>::log_attempt(
    const server_id& server, const http::request& message,
    const backend::relay_result& result) const
{
    // A line for each request would cost more than its relay.
    if (result.end == backend::relay_end::complete &&
        !promises_not_run(result.response.status))
    {
        return;
    }
    CICADAHUB_EVENT(INFO, request_attempted)
        << "request=" << message[backend::request_id_header]
        << " server=" << server << " end=" << backend::name_of(result.end)
        << " status=" << result.response.status
        << " names_request=" << outcome::name_of(result.response.request)
        << " earlier_exchanges=" << result.response.earlier_exchanges;
}

template<control_gateway Control>
void request_handler<Control>::count_completed(
    const admitted_request& it, const backend::relay_result& result)
{
    const time_point first = result.first_token_at.value_or(it.arrival);
    m_request_counter.count_served(it.counts_key, first <= it.deadline,
                                   result.tokens);
    m_metrics.count_served(
        std::chrono::duration_cast<milliseconds>(first - it.arrival),
        result.tokens);
}

template<control_gateway Control>
void request_handler<Control>::fail_request(const admitted_request& it,
                                            const backend::relay_result& result,
                                            http::reply_writer& reply)
{
    using backend::relay_end;
    m_metrics.count_failed();
    if (result.end == relay_end::caller_disconnected)
    {
        CICADAHUB_EVENT(INFO, caller_vanished)
            << "class=" << it.counts_key.first;
        // No reply can be sent any more; this closes the connection.
        throw boost::system::system_error(net::error::connection_aborted);
    }
    if (reply.has_started())
    {
        m_request_counter.count_failed(it.counts_key);
        reply.abort_stream();
        throw boost::system::system_error(net::error::connection_aborted);
    }
    if (result.end == relay_end::cancelled)
    {
        throw refused_error({refusal_kind::key_withdrawn, !it.has_run});
    }
    throw refused_error({refusal_kind::backend_failed, !it.has_run});
}

template<control_gateway Control>
net::awaitable<void> request_handler<Control>::pause()
{
    net::steady_timer timer(m_context, attempt_pause);
    co_await timer.async_wait(net::use_awaitable);
}

template<control_gateway Control>
net::awaitable<void> request_handler<Control>::run_completion(
    const model_id& model, const http::request& message,
    http::reply_writer& reply, admitted_request& it)
{
    using backend::relay_end;
    std::vector<server_id> excluded;
    std::vector<server_id> sent_to;
    int attempts_that_ran = 0;
    for (;;)
    {
        const routing::target target =
            co_await find_target(model, excluded, it);
        const bool is_suspect =
            !m_control.suspects().is_empty() &&
            m_control.suspects().is_suspect(fingerprint_of(message));
        std::optional<isolation> isolated;
        if (is_suspect && !m_control.suspects().try_isolate(target.server))
        {
            // Another suspect runs on this server: a crash could not be
            // attributed to either.
            refuse_if_past_deadline(it);
            co_await pause();
            continue;
        }
        if (is_suspect)
        {
            isolated.emplace(m_control.suspects(), target.server);
        }
        // A late copy of the response to an earlier attempt would name the
        // request too, but cannot arrive on a new connection.
        const bool is_repeat = std::find(sent_to.begin(), sent_to.end(),
                                         target.server) != sent_to.end();
        const backend::relay_result result =
            co_await relay_attempt(target, message, reply, it,
                                   backend::backend_kind::engine, is_repeat);
        isolated.reset();
        if (result.end == relay_end::complete)
        {
            count_completed(it, result);
            if (is_suspect)
            {
                m_control.report_completed(fingerprint_of(message));
            }
            co_return;
        }
        if (result.end != relay_end::not_sent && !is_repeat)
        {
            sent_to.push_back(target.server);
        }
        if (result.is_connection_lost)
        {
            it.has_run = true;
            co_await on_crash(message, it);
        }
        switch (result.end)
        {
        case relay_end::not_sent:
        case relay_end::model_not_loaded:
        case relay_end::server_busy:
            excluded.push_back(target.server);
            break;
        case relay_end::failed_before_answer:
            it.has_run = true;
            // A reused connection may have been stale while new ones work.
            if (result.response.earlier_exchanges == 0)
            {
                excluded.push_back(target.server);
            }
            if (++attempts_that_ran >= attempt_limit)
            {
                fail_request(it, result, reply);
            }
            break;
        default:
            it.has_run = true;
            fail_request(it, result, reply);
        }
        refuse_if_past_deadline(it);
        m_metrics.count_retry();
        co_await pause();
    }
}

template<control_gateway Control>
void request_handler<Control>::refuse_if_past_deadline(
    const admitted_request& it) const
{
    if (monotonic_clock::now() >= it.deadline)
    {
        throw refused_error(
            {refusal_kind::target_unreachable, !it.has_run, attempt_pause});
    }
}

template<control_gateway Control>
void request_handler<Control>::withdraw(const key_hash& hash)
{
    net::post(m_context, [this, hash] { m_running.cancel(hash); });
}

} // namespace cicadahub::caller
