#include "engine_standin.hpp"

#include "core/digest.hpp"
#include "core/json_reader.hpp"

#include <charconv>
#include <cstdlib>

namespace cicadahub::standin
{

namespace
{

constexpr std::size_t boot_id_bytes = 8;
constexpr milliseconds silence_poll{50};
constexpr milliseconds unload_poll{5};
constexpr milliseconds fetch_timeout{600'000};
constexpr std::int64_t default_max_tokens = 16;
constexpr int crash_status = 134;

http::response error_response(http::status code, std::string_view type)
{
    boost::json::object error;
    error["type"] = type;
    boost::json::object json;
    json["error"] = std::move(error);
    return http::json_response(code, boost::json::serialize(json));
}

boost::json::array names_of(const std::map<std::string, std::int64_t>& from)
{
    boost::json::array names;
    for (const auto& [name, bytes] : from)
    {
        names.emplace_back(name);
    }
    return names;
}

std::string token_event(const std::string& model, std::int64_t index,
                        bool is_chat)
{
    const std::string text = "t" + std::to_string(index) + " ";
    boost::json::object choice;
    choice["index"] = 0;
    if (is_chat)
    {
        choice["delta"] = {{"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    boost::json::object json;
    json["object"] = is_chat ? "chat.completion.chunk" : "text_completion";
    json["model"] = model;
    json["choices"] = boost::json::array{std::move(choice)};
    return "data: " + boost::json::serialize(json) + "\n\n";
}

http::response make_completion(const std::string& model, std::int64_t prompt,
                               std::int64_t tokens, bool is_chat)
{
    std::string text;
    for (std::int64_t i = 0; i < tokens; ++i)
    {
        text += "t" + std::to_string(i) + " ";
    }
    boost::json::object choice;
    choice["index"] = 0;
    choice["finish_reason"] = "stop";
    if (is_chat)
    {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    boost::json::object json;
    json["object"] = is_chat ? "chat.completion" : "text_completion";
    json["model"] = model;
    json["choices"] = boost::json::array{std::move(choice)};
    json["usage"] = {{"prompt_tokens", prompt},
                     {"completion_tokens", tokens},
                     {"total_tokens", prompt + tokens}};
    return http::json_response(http::status::ok, boost::json::serialize(json));
}

} // namespace

engine_state::engine_state(engine_settings it)
    : settings(std::move(it)), boot_id(random_hex(boot_id_bytes))
{
    for (const std::string& model : settings.preloaded)
    {
        loaded[model] = 1;
    }
}

engine_standin::engine_standin(net::io_context& context, engine_state& state)
    : m_context(context), m_state(state), m_pool(context, fetch_timeout, 4)
{
}

net::awaitable<void> engine_standin::wait(microseconds time)
{
    if (time.count() <= 0)
    {
        co_return;
    }
    net::steady_timer timer(m_context, time);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

net::awaitable<void> engine_standin::serve(http::request& message,
                                           http::reply_writer& reply)
{
    const std::string_view path = http::path_of(message.target());
    if (path == "/faults")
    {
        co_await reply.send(set_faults(message));
        co_return;
    }
    if (path == "/stats")
    {
        co_await reply.send(stats());
        co_return;
    }
    while (m_state.is_silent)
    {
        co_await wait(silence_poll);
    }
    if (path == "/report")
    {
        co_await reply.send(report());
    }
    else if (path == "/models/load")
    {
        co_await reply.send(co_await load(message, "model"));
    }
    else if (path == "/models/unload")
    {
        co_await reply.send(co_await unload(message, "model"));
    }
    else if (path == "/v1/load_lora_adapter")
    {
        co_await reply.send(co_await load(message, "lora_name"));
    }
    else if (path == "/v1/unload_lora_adapter")
    {
        co_await reply.send(co_await unload(message, "lora_name"));
    }
    else if (path == "/v1/completions" || path == "/v1/chat/completions")
    {
        co_await complete(message, reply);
    }
    else
    {
        co_await reply.send(
            error_response(http::status::not_found, "not_found"));
    }
}

http::response engine_standin::set_faults(const http::request& message)
{
    const boost::json::object json = parse_json_object(message.body());
    const json_reader reader(json);
    std::lock_guard lock(m_state.mutex);
    m_state.crash_on = reader.text_or("crash_on", m_state.crash_on);
    m_state.is_silent = reader.boolean_or("silent", m_state.is_silent);
    m_state.fails_loads = reader.boolean_or("fail_loads", m_state.fails_loads);
    m_state.busy_answers = reader.integer_or("busy", m_state.busy_answers);
    m_state.faults.read(reader);
    return http::json_response(http::status::ok, "{}");
}

http::response engine_standin::stats()
{
    std::lock_guard lock(m_state.mutex);
    boost::json::object json;
    json["requests"] = m_state.requests;
    json["completed"] = m_state.completed;
    json["cancelled"] = m_state.cancelled;
    json["loads"] = m_state.loads;
    json["keys_seen"] = m_state.keys_seen;
    json["refused_by_fence"] = m_state.refused_by_fence;
    json["most_running"] = m_state.most_running;
    json["most_bytes"] = m_state.most_bytes;
    json["memory_bytes"] = m_state.settings.memory_bytes;
    json["loaded"] = names_of(m_state.loaded);
    return http::json_response(http::status::ok, boost::json::serialize(json));
}

http::response engine_standin::report()
{
    std::lock_guard lock(m_state.mutex);
    boost::json::object json;
    json["boot_id"] = m_state.boot_id;
    json["loaded"] = names_of(m_state.loaded);
    json["loading"] = names_of(m_state.loading);
    boost::json::array on_disk;
    for (const std::string& name : m_state.on_disk)
    {
        on_disk.emplace_back(name);
    }
    json["on_disk"] = std::move(on_disk);
    const std::int64_t slots = m_state.settings.slots;
    json["running"] = std::min(m_state.running, slots);
    json["waiting"] = std::max<std::int64_t>(0, m_state.running - slots);
    return http::json_response(http::status::ok, boost::json::serialize(json));
}

bool engine_standin::has_stale_fence(const http::request& message)
{
    if (!m_state.settings.is_fencing)
    {
        return false;
    }
    const std::string_view text = message["X-Fencing-Number"];
    std::uint64_t fence = 0;
    std::from_chars(text.data(), text.data() + text.size(), fence);
    std::lock_guard lock(m_state.mutex);
    if (fence < m_state.fence)
    {
        ++m_state.refused_by_fence;
        return true;
    }
    m_state.fence = fence;
    return false;
}

net::awaitable<http::response>
engine_standin::load(const http::request& message, std::string_view name_member)
{
    if (has_stale_fence(message))
    {
        co_return error_response(http::status::precondition_failed, "fenced");
    }
    const boost::json::object json = parse_json_object(message.body());
    const json_reader reader(json);
    const std::string model = reader.text(name_member);
    const std::int64_t bytes = reader.integer_or("bytes", 1);
    bool is_first = false;
    bool is_on_disk = false;
    {
        std::lock_guard lock(m_state.mutex);
        if (m_state.fails_loads)
        {
            co_return error_response(http::status::internal_server_error,
                                     "load_failed");
        }
        if (m_state.loaded.contains(model))
        {
            co_return http::json_response(http::status::ok, "{}");
        }
        is_first = m_state.loading.emplace(model, bytes).second;
        is_on_disk = m_state.on_disk.contains(model);
        std::int64_t used = 0;
        for (const auto* from : {&m_state.loaded, &m_state.loading})
        {
            for (const auto& [name, it] : *from)
            {
                used += it;
            }
        }
        m_state.most_bytes = std::max(m_state.most_bytes, used);
    }
    if (is_first && !is_on_disk)
    {
        co_await fetch_weights(model, bytes);
    }
    for (;;)
    {
        {
            std::lock_guard lock(m_state.mutex);
            if (is_first)
            {
                m_state.loading.erase(model);
                m_state.loaded[model] = bytes;
                m_state.on_disk.insert(model);
                ++m_state.loads;
            }
            if (!m_state.loading.contains(model))
            {
                break;
            }
        }
        co_await wait(unload_poll);
    }
    co_return http::json_response(http::status::ok, "{}");
}

net::awaitable<void> engine_standin::fetch_weights(const std::string& model,
                                                   std::int64_t bytes)
{
    if (!m_state.settings.weight_store)
    {
        co_return;
    }
    boost::json::object json;
    json["model"] = model;
    json["bytes"] = bytes;
    co_await http::fetch(m_pool, *m_state.settings.weight_store,
                         http::make_request(http::verb::post, "/fetch",
                                            boost::json::serialize(json)),
                         fetch_timeout);
}

net::awaitable<http::response>
engine_standin::unload(const http::request& message,
                       std::string_view name_member)
{
    if (has_stale_fence(message))
    {
        co_return error_response(http::status::precondition_failed, "fenced");
    }
    const boost::json::object json = parse_json_object(message.body());
    const std::string model = json_reader(json).text(name_member);
    {
        // New requests for the model are refused from here on; the unload waits
        // for those in flight.
        std::lock_guard lock(m_state.mutex);
        const auto at = m_state.loaded.find(model);
        if (at != m_state.loaded.end())
        {
            m_state.loading.insert(m_state.loaded.extract(at));
        }
    }
    for (;;)
    {
        {
            std::lock_guard lock(m_state.mutex);
            if (m_state.running_by_model[model] == 0)
            {
                m_state.loading.erase(model);
                break;
            }
        }
        co_await wait(unload_poll);
    }
    co_return http::json_response(http::status::ok, "{}");
}

/// Counts a request as running for the lifetime of the object, then as
/// completed if `complete` was called, else as cancelled.
class run_guard
{
public:
    run_guard(engine_state& state, std::string model)
        : m_state(state), m_model(std::move(model))
    {
        std::lock_guard lock(m_state.mutex);
        ++m_state.running;
        ++m_state.running_by_model[m_model];
        m_state.most_running = std::max(m_state.most_running, m_state.running);
    }
    ~run_guard()
    {
        std::lock_guard lock(m_state.mutex);
        --m_state.running;
        --m_state.running_by_model[m_model];
        ++(m_is_complete ? m_state.completed : m_state.cancelled);
    }
    run_guard(const run_guard&) = delete;
    run_guard& operator=(const run_guard&) = delete;

    void complete() { m_is_complete = true; }

private:
    engine_state& m_state;
    std::string m_model;
    bool m_is_complete = false;
};

net::awaitable<void> engine_standin::complete(const http::request& message,
                                              http::reply_writer& reply)
{
    const boost::json::object json = parse_json_object(message.body());
    const json_reader reader(json);
    const std::string model = reader.text("model");
    const std::int64_t tokens =
        reader.integer_or("max_tokens", default_max_tokens);
    const bool is_chat =
        http::path_of(message.target()) == "/v1/chat/completions";
    std::int64_t slowdown = 0;
    bool is_loaded = false;
    bool is_busy = false;
    response_faults::response_fault fault;
    response_faults faults;
    {
        std::lock_guard lock(m_state.mutex);
        ++m_state.requests;
        m_state.keys_seen += message.count(http::field::authorization);
        if (!m_state.crash_on.empty() &&
            message.body().find(m_state.crash_on) != std::string::npos)
        {
            std::_Exit(crash_status);
        }
        is_loaded = m_state.loaded.contains(model);
        slowdown = std::max<std::int64_t>(1, (m_state.running + 1) /
                                                 m_state.settings.slots);
        fault = m_state.faults.take_next();
        faults = m_state.faults;
        is_busy = !fault.is_promise && !fault.has_stale_response &&
                  m_state.busy_answers > 0;
        m_state.busy_answers -= is_busy ? 1 : 0;
    }
    if (!is_loaded)
    {
        co_await send(
            error_response(http::status::not_found, "model_not_found"), message,
            reply);
        co_return;
    }
    if (is_busy)
    {
        co_await send(
            error_response(http::status::service_unavailable, "overloaded"),
            message, reply);
        co_return;
    }
    run_guard guard(m_state, model);
    bool is_caller_disconnected = false;
    auto timer = std::make_shared<net::steady_timer>(m_context);
    reply.watch_caller(
        [&is_caller_disconnected, timer]
        {
            is_caller_disconnected = true;
            timer->cancel();
        });
    const bool is_stream = reader.boolean_or("stream", false);
    // With more requests than slots, each request takes proportionally
    // longer.
    const microseconds work =
        (m_state.settings.prefill +
         (is_stream ? microseconds(0) : m_state.settings.token_gap * tokens)) *
        slowdown;
    if (work.count() > 0)
    {
        timer->expires_after(work);
        co_await timer->async_wait(net::as_tuple(net::use_awaitable));
    }
    reply.stop_watching_caller();
    if (is_caller_disconnected)
    {
        throw boost::system::system_error(net::error::connection_aborted);
    }
    if (fault.has_stale_response)
    {
        co_await reply.send(faults.stale_response());
    }
    if (fault.is_promise)
    {
        co_await send(faults.promise(), message, reply);
    }
    else if (is_stream)
    {
        co_await stream(message, model, tokens, reply);
    }
    else
    {
        const auto prompt =
            static_cast<std::int64_t>(message.body().size()) / 4;
        co_await send(make_completion(model, prompt, tokens, is_chat), message,
                      reply);
    }
    guard.complete();
}

net::awaitable<void> engine_standin::send(http::response it,
                                          const http::request& message,
                                          http::reply_writer& reply)
{
    {
        std::lock_guard lock(m_state.mutex);
        m_state.faults.name_request(it, message);
    }
    co_await reply.send(std::move(it));
}

net::awaitable<void> engine_standin::stream(const http::request& message,
                                            const std::string& model,
                                            std::int64_t tokens,
                                            http::reply_writer& reply)
{
    const bool is_chat =
        http::path_of(message.target()) == "/v1/chat/completions";
    http::response start{http::status::ok, 11};
    start.set(http::field::content_type, "text/event-stream");
    start.set(http::field::cache_control, "no-cache");
    {
        std::lock_guard lock(m_state.mutex);
        m_state.faults.name_request(start, message);
    }
    co_await reply.begin_stream(std::move(start));
    for (std::int64_t i = 0; i < tokens; ++i)
    {
        if (i > 0)
        {
            co_await wait(m_state.settings.token_gap);
        }
        co_await reply.write_chunk(token_event(model, i, is_chat));
    }
    co_await reply.write_chunk("data: [DONE]\n\n");
    co_await reply.end_stream();
}

} // namespace cicadahub::standin
