#include "worker_standin.hpp"

#include "core/json_reader.hpp"
#include "core/refusal.hpp"
#include "http/request_target.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>
#include <cstdlib>

namespace cicadahub::standin
{

namespace
{

constexpr milliseconds heartbeat{400};
constexpr milliseconds store_timeout{500};
/// A request that was on its way when the pause was asked for may come so late.
constexpr milliseconds pause_grace{500};
constexpr milliseconds fall_time{1'000};
/// All hosts know a limit after this time.
constexpr milliseconds limit_grace{700};
constexpr milliseconds limit_window{4'000};
/// All hosts know this long after it that a server has become cold: a
/// heartbeat, and the pause of the hosts that watch the store.
constexpr milliseconds cold_grace{1'500};
constexpr int crash_status = 134;
constexpr int events_per_stream = 8;
constexpr std::string_view first_version = "v1";
constexpr int events_before_break = 2;
constexpr std::size_t endless_block_bytes = 64 * 1024;

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

http::response json_answer(http::status code, const boost::json::object& json)
{
    return http::json_response(code, boost::json::serialize(json));
}

int parse_number(std::string_view text)
{
    int n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

} // namespace

worker_standin::worker_standin(net::io_context& context,
                               worker_settings settings)
    : m_context(context), m_settings(std::move(settings)),
      m_pool(context, store_timeout, 1), m_started_at_ms(now_ms())
{
    for (const std::string& it : m_settings.models)
    {
        m_models[it];
        m_on_disk.insert(it);
    }
    m_most_megabytes = used_megabytes();
    net::co_spawn(m_context, register_entry(), net::detached);
}

net::awaitable<void> worker_standin::pause(milliseconds time)
{
    net::steady_timer timer(m_context, time);
    co_await timer.async_wait(net::use_awaitable);
}

boost::json::array worker_standin::models_json() const
{
    boost::json::array models;
    for (const auto& [model, names] : m_models)
    {
        boost::json::array adapters;
        for (const std::string& it : names)
        {
            adapters.emplace_back(it);
        }
        models.push_back({{"name", model},
                          {"version", 1},
                          {"adapters", std::move(adapters)}});
    }
    return models;
}

boost::json::object worker_standin::available_json() const
{
    boost::json::array on_disk;
    for (const std::string& it : m_on_disk)
    {
        on_disk.emplace_back(it);
    }
    return {{"inMemory", boost::json::array()}, {"onDisk", std::move(on_disk)}};
}

std::int64_t worker_standin::used_megabytes() const
{
    return static_cast<std::int64_t>(m_models.size()) *
           m_settings.model_megabytes;
}

net::awaitable<void> worker_standin::register_entry()
{
    const std::string kind = "/v1/objects/servers";
    while (true)
    {
        if (m_is_unlisted)
        {
            co_await pause(heartbeat);
            continue;
        }
        boost::json::object spec{
            {"service", m_settings.service},
            {"address", m_settings.address},
            {"zone", m_settings.data_centre},
            {"version", m_settings.software_version},
            {"slots", m_settings.slots},
            {"state", m_is_draining ? "draining" : "ready"},
            {"coldLeftMs", cold_left().count()},
            {"born", m_started_at_ms},
            {"seq", ++m_heartbeats}};
        if (m_settings.megabytes > 0)
        {
            spec["models"] = models_json();
            spec["available"] = available_json();
        }
        const boost::json::object object{
            {"metadata", {{"name", m_settings.id}}}, {"spec", std::move(spec)}};
        const std::string body = boost::json::serialize(object);
        try
        {
            auto put = http::make_request(
                http::verb::put,
                kind + "/" + http::percent_encode(m_settings.id), body);
            const http::response answer = co_await http::fetch(
                m_pool, m_settings.store, std::move(put), store_timeout);
            if (answer.result() == http::status::not_found)
            {
                auto post = http::make_request(http::verb::post, kind, body);
                co_await http::fetch(m_pool, m_settings.store, std::move(post),
                                     store_timeout);
            }
        }
        catch (const boost::system::system_error&)
        {
            // The next heartbeat retries.
        }
        co_await pause(heartbeat);
    }
}

net::awaitable<void> worker_standin::serve(http::request& message,
                                           http::reply_writer& reply)
{
    const std::string_view path = http::path_of(message.target());
    if (path == "/faults")
    {
        const boost::json::object json = parse_json_object(message.body());
        const json_reader reader(json);
        m_lost_answers = reader.integer_or("lose_answers", m_lost_answers);
        m_tokens_per_ms = reader.integer_or("tokens_per_ms", m_tokens_per_ms);
        m_broken_streams = reader.integer_or("break_streams", m_broken_streams);
        m_settings.event_gap = milliseconds(
            reader.integer_or("event_gap_ms", m_settings.event_gap.count()));
        m_silent_orders = reader.integer_or("silent_orders", m_silent_orders);
        m_plain_call_time = milliseconds(
            reader.integer_or("plain_ms", m_plain_call_time.count()));
        m_is_draining = reader.boolean_or("draining", m_is_draining);
        m_is_unframed = reader.boolean_or("unframed", m_is_unframed);
        m_is_leaving = reader.boolean_or("leaving", m_is_leaving);
        m_is_unlisted = reader.boolean_or("unlisted", m_is_unlisted);
        m_are_events_unnumbered =
            reader.boolean_or("unnumbered", m_are_events_unnumbered);
        m_crashes_after_run =
            reader.boolean_or("crash_after_run", m_crashes_after_run);
        m_crash_part = reader.text_or("crash_part", m_crash_part);
        m_crashes_behind_event =
            reader.boolean_or("crash_behind_event", m_crashes_behind_event);
        m_unproven_promises =
            reader.integer_or("unproven_promises", m_unproven_promises);
        m_stale_refusals =
            reader.integer_or("stale_refusals", m_stale_refusals);
        m_promised_status =
            reader.integer_or("promised_status", m_promised_status);
        m_stale_id = reader.text_or("stale_id", m_stale_id);
        m_endless = reader.text_or("endless", m_endless);
        m_resumed_status =
            reader.integer_or("resumed_status", m_resumed_status);
        m_sheds_placement =
            reader.boolean_or("shed_placement", m_sheds_placement);
        if (json.contains("limit"))
        {
            m_rate_limit = reader.text("limit");
            m_limit_counts_from = monotonic_clock::now() + limit_grace;
            m_limited_arrivals.clear();
            m_most_limited_arrivals = 0;
        }
        if (json.contains("cold_ms"))
        {
            const time_point now = monotonic_clock::now();
            m_cold_until = now + milliseconds(reader.integer("cold_ms"));
            m_seconds_count_from = now + cold_grace;
            m_most_arrivals_in_second = 0;
        }
        if (json.contains("brittle"))
        {
            m_brittle_limit = reader.integer("brittle");
        }
        if (json.contains("pace"))
        {
            m_pace_percent = reader.integer("pace");
        }
        if (json.contains("room"))
        {
            m_room = reader.integer("room");
            // Rejections from before the room fell make no server fail.
            m_rejections.clear();
        }
        if (json.contains("shed_s"))
        {
            m_sheds_until =
                monotonic_clock::now() + seconds(reader.integer("shed_s"));
            m_pause_begins_at.reset();
        }
        co_await reply.send(json_answer(http::status::ok, {}));
        co_return;
    }
    if (path == "/stats")
    {
        co_await reply.send(answer_stats());
        co_return;
    }
    if (path == "/runs")
    {
        co_await reply.send(answer_runs());
        co_return;
    }
    if (monotonic_clock::now() < m_down_until)
    {
        reply.abort_stream();
        throw boost::system::system_error(net::error::connection_aborted);
    }
    const auto expected = message["Expect-Instance"];
    if (!expected.empty() && expected != m_settings.id)
    {
        co_await reply.send(
            refusal(http::status::misdirected_request, message["Request-Id"]));
        co_return;
    }
    count_arrival();
    count_limited_arrival();
    const bool is_placement = path == "/v1/report" || path == "/v1/order";
    if (is_placement && m_sheds_placement && is_shedding())
    {
        co_await reply.send(shed({}));
        co_return;
    }
    if (is_placement)
    {
        count_arrival_in_pause();
    }
    if (path == "/v1/report")
    {
        http::response answer = answer_report();
        announce(answer);
        co_await reply.send(std::move(answer));
        co_return;
    }
    if (path == "/v1/order")
    {
        http::response answer = answer_order(message);
        announce(answer);
        if (m_silent_orders > 0)
        {
            --m_silent_orders;
            reply.abort_stream();
            throw boost::system::system_error(net::error::connection_aborted);
        }
        co_await reply.send(std::move(answer));
        co_return;
    }
    co_await run(message, reply);
}

void worker_standin::announce(http::response& it) const
{
    if (m_is_leaving)
    {
        it.set("Server-Leaving", "1");
    }
    if (!m_rate_limit.empty())
    {
        it.set("Server-Limit", m_rate_limit);
    }
    if (m_brittle_limit)
    {
        it.set("Server-Brittle", std::to_string(*m_brittle_limit));
    }
    if (m_pace_percent)
    {
        it.set("Server-Load", std::to_string(m_running) + ",0," +
                                  std::to_string(m_settings.slots) + "," +
                                  std::to_string(*m_pace_percent));
    }
}

net::awaitable<void> worker_standin::read_prompt(const http::request& message)
{
    if (m_tokens_per_ms <= 0)
    {
        co_return;
    }
    const std::string_view counts = message["Token-Count"];
    const time_point now = monotonic_clock::now();
    m_reads_until =
        std::max(m_reads_until, now) +
        milliseconds(parse_number(counts.substr(0, counts.find(','))) /
                     m_tokens_per_ms);
    co_await pause(
        std::chrono::duration_cast<milliseconds>(m_reads_until - now));
}

http::response worker_standin::error_for_resumed(std::string_view request) const
{
    const auto code = static_cast<http::status>(m_resumed_status);
    http::response it =
        promises_not_run(static_cast<unsigned>(m_resumed_status))
            ? refusal(code, request)
            : http::response{code, 11};
    it.set("Request-Id", std::string(request));
    it.set("Response-Seal", "seal-" + m_settings.id);
    it.set(http::field::content_type, "text/plain");
    it.body() = "the error of the next server";
    it.prepare_payload();
    return it;
}

http::response worker_standin::stale_refusal()
{
    --m_stale_refusals;
    return refusal(static_cast<http::status>(m_promised_status), m_stale_id);
}

bool worker_standin::is_shedding() const
{
    return monotonic_clock::now() < m_sheds_until;
}

void worker_standin::count_arrival_in_pause()
{
    if (m_pause_begins_at && is_shedding() &&
        monotonic_clock::now() > *m_pause_begins_at)
    {
        ++m_arrivals_in_pause;
    }
}

milliseconds worker_standin::cold_left() const
{
    const time_point now = monotonic_clock::now();
    return now < m_cold_until
               ? std::chrono::ceil<milliseconds>(m_cold_until - now)
               : milliseconds(0);
}

void worker_standin::count_arrival()
{
    const time_point now = monotonic_clock::now();
    ++m_arrivals;
    if (now < m_seconds_count_from)
    {
        return;
    }
    std::erase_if(m_last_arrivals, [&](time_point at)
                  { return at + std::chrono::seconds(1) <= now; });
    m_last_arrivals.push_back(now);
    m_most_arrivals_in_second =
        std::max(m_most_arrivals_in_second,
                 static_cast<std::int64_t>(m_last_arrivals.size()));
}

void worker_standin::count_limited_arrival()
{
    const time_point now = monotonic_clock::now();
    if (m_rate_limit.empty() || now < m_limit_counts_from)
    {
        return;
    }
    std::erase_if(m_limited_arrivals,
                  [&](time_point at) { return at + limit_window < now; });
    m_limited_arrivals.push_back(now);
    m_most_limited_arrivals =
        std::max(m_most_limited_arrivals,
                 static_cast<std::int64_t>(m_limited_arrivals.size()));
}

void worker_standin::count_rejection()
{
    const time_point now = monotonic_clock::now();
    while (!m_rejections.empty() && m_rejections.front() + seconds(1) < now)
    {
        m_rejections.pop_front();
    }
    m_rejections.push_back(now);
    if (m_brittle_limit && m_room &&
        static_cast<std::int64_t>(m_rejections.size()) > *m_brittle_limit)
    {
        ++m_falls;
        m_rejections.clear();
        m_down_until = now + fall_time;
    }
}

http::response worker_standin::shed(std::string_view request)
{
    const time_point now = monotonic_clock::now();
    if (!m_pause_begins_at)
    {
        m_pause_begins_at = now + pause_grace;
    }
    count_arrival_in_pause();
    const auto left =
        std::chrono::duration<double>(m_sheds_until - now).count();
    http::response answer = refusal(http::status::service_unavailable, request);
    answer.set(http::field::retry_after, std::to_string(left));
    return answer;
}

http::response worker_standin::refusal(http::status code,
                                       std::string_view request) const
{
    http::response answer{code, 11};
    announce(answer);
    answer.set("Instance-Id", m_settings.id);
    answer.set("Not-Run", "1");
    if (!request.empty())
    {
        answer.set("Request-Id", request);
    }
    answer.prepare_payload();
    return answer;
}

http::response worker_standin::answer_report() const
{
    return json_answer(http::status::ok, {{"stage", "both"},
                                          {"models", models_json()},
                                          {"available", available_json()},
                                          {"busy", m_is_busy},
                                          {"seq", m_orders},
                                          {"numWaiting", 0},
                                          {"numRunning", m_running}});
}

http::response worker_standin::answer_stats() const
{
    std::int64_t runs = 0;
    std::int64_t most_runs = 0;
    for (const auto& [id, n] : m_runs)
    {
        runs += n;
        most_runs = std::max(most_runs, n);
    }
    std::string organisations;
    for (const std::string& it : m_organisations)
    {
        organisations += it + " ";
    }
    return json_answer(http::status::ok,
                       {{"runs", runs},
                        {"most_runs_of_one", most_runs},
                        {"running", m_running},
                        {"organisations", organisations},
                        {"arrivals_in_pause", m_arrivals_in_pause},
                        {"falls", m_falls},
                        {"with_urgency", m_with_urgency},
                        {"most_limited_arrivals", m_most_limited_arrivals},
                        {"arrivals", m_arrivals},
                        {"most_arrivals_in_second", m_most_arrivals_in_second},
                        {"keys_seen", m_keys_seen},
                        {"endless_bytes", m_endless_bytes},
                        {"orders", m_orders},
                        {"old_fences", m_old_fences},
                        {"megabytes", m_settings.megabytes},
                        {"most_megabytes", m_most_megabytes}});
}

http::response worker_standin::answer_runs() const
{
    boost::json::object runs;
    for (const auto& [id, n] : m_runs)
    {
        runs[id] = n;
    }
    return json_answer(http::status::ok, runs);
}

http::response worker_standin::answer_order(const http::request& message)
{
    const boost::json::object json = parse_json_object(message.body());
    const json_reader reader(json);
    const std::int64_t fence = reader.integer("fence");
    m_old_fences += fence < m_fence ? 1 : 0;
    m_fence = std::max(m_fence, fence);
    if (m_is_busy || reader.integer_or("expected", m_orders) != m_orders)
    {
        return json_answer(http::status::conflict, {});
    }
    const bool is_load = reader.text("opType") == "load";
    const std::string model = reader.text("model");
    return json.contains("adapter")
               ? accept_adapter(model, reader.text("adapter"), is_load)
               : accept_model(model, is_load);
}

http::response worker_standin::accept_adapter(const std::string& model,
                                              const std::string& adapter,
                                              bool is_load)
{
    const auto held = m_models.find(model);
    if (held == m_models.end())
    {
        return json_answer(http::status::bad_request, {});
    }
    ++m_orders;
    if (is_load)
    {
        held->second.insert(adapter);
        return json_answer(http::status::accepted, {});
    }
    held->second.erase(adapter);
    return json_answer(http::status::ok, {});
}

http::response worker_standin::accept_model(const std::string& model,
                                            bool is_load)
{
    if (m_models.contains(model) == is_load)
    {
        return json_answer(http::status::ok, {});
    }
    ++m_orders;
    m_is_busy = true;
    milliseconds time = m_on_disk.contains(model) ? m_settings.load_from_disk
                                                  : m_settings.load_from_store;
    if (is_load)
    {
        m_most_megabytes = std::max(
            m_most_megabytes, used_megabytes() + m_settings.model_megabytes);
    }
    else
    {
        time = milliseconds(0);
    }
    net::co_spawn(m_context, execute_order(model, is_load, time),
                  net::detached);
    return json_answer(http::status::accepted, {});
}

net::awaitable<void> worker_standin::execute_order(std::string model,
                                                   bool is_load,
                                                   milliseconds time)
{
    while (!is_load && m_running > 0)
    {
        co_await pause(m_plain_call_time);
    }
    co_await pause(time);
    if (is_load)
    {
        m_models[model];
        m_on_disk.insert(model);
    }
    else
    {
        m_models.erase(model);
    }
    m_is_busy = false;
}

net::awaitable<void> worker_standin::run(http::request& message,
                                         http::reply_writer& reply)
{
    std::string model(message["Model"]);
    std::string adapter;
    const std::size_t slash = model.find('/');
    if (slash != std::string::npos)
    {
        adapter = model.substr(slash + 1);
        model.resize(slash);
    }
    const auto held = m_models.find(model);
    const bool is_absent =
        !model.empty() &&
        (held == m_models.end() ||
         (!adapter.empty() && !held->second.contains(adapter)));
    if (is_absent)
    {
        co_await reply.send(
            refusal(http::status::misdirected_request, message["Request-Id"]));
        co_return;
    }
    if (is_shedding())
    {
        co_await reply.send(shed(message["Request-Id"]));
        co_return;
    }
    if (m_running >=
        std::min(m_settings.slots, m_room.value_or(m_settings.slots)))
    {
        count_rejection();
        co_await reply.send(
            refusal(http::status::service_unavailable, message["Request-Id"]));
        co_return;
    }
    if (m_resumed_status > 0 && message.count("Last-Event-Id") > 0)
    {
        co_await reply.send(error_for_resumed(message["Request-Id"]));
        co_return;
    }
    ++m_runs[std::string(message["Request-Id"])];
    m_keys_seen += message.count(http::field::authorization) > 0 ? 1 : 0;
    m_organisations.insert(std::string(message["Tenant"]));
    m_with_urgency += message.count("Request-Urgency") > 0 ? 1 : 0;
    ++m_running;
    if (m_crashes_after_run)
    {
        std::_Exit(crash_status);
    }
    try
    {
        if (!m_endless.empty())
        {
            co_await send_endless(message, reply);
        }
        if (m_stale_refusals > 0)
        {
            co_await reply.send(stale_refusal());
        }
        if (m_unproven_promises > 0)
        {
            --m_unproven_promises;
            co_await pause(m_plain_call_time);
            http::response answer =
                json_answer(static_cast<http::status>(m_promised_status), {});
            answer.set("Request-Id", message["Request-Id"]);
            answer.set("Response-Seal", "seal-" + m_settings.id);
            co_await reply.send(std::move(answer));
        }
        else if (model.empty())
        {
            co_await answer_plain(message, reply);
        }
        else
        {
            co_await stream(message, reply);
        }
    }
    catch (...)
    {
        --m_running;
        throw;
    }
    --m_running;
}

net::awaitable<void> worker_standin::send_endless(const http::request& message,
                                                  http::reply_writer& reply)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string fields =
        "Request-Id: " + std::string(message["Request-Id"]) +
        "\r\nResponse-Seal: seal-" + m_settings.id + "\r\n";
    const std::string type = message["Model"].empty()
                                 ? "Content-Type: application/json\r\n"
                                 : "Content-Type: text/event-stream\r\n";
    const std::string head = status + fields + type;
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string letters(64, 'a');
    std::string start;
    std::string block = letters;
    if (m_endless == "head")
    {
        start = head;
        block = "Field: " + letters + "\r\n";
    }
    else if (m_endless == "interim")
    {
        block = "HTTP/1.1 103 Early Hints\r\n\r\n";
    }
    else if (m_endless == "chunk_extension")
    {
        start = chunked + "1;";
    }
    else if (m_endless == "events")
    {
        start = head + "\r\n";
        block = "id: 1\ndata: " + letters + "\n\n";
    }
    else
    {
        start = head + "\r\n[";
        block = std::string(letters.size(), '1');
    }
    std::string blocks;
    while (blocks.size() < endless_block_bytes)
    {
        blocks += block;
    }
    // Sent as it is.
    reply.set_stream_framing(http::body_framing::until_close);
    co_await reply.write_chunk(start);
    while (true)
    {
        co_await reply.write_chunk(blocks);
        m_endless_bytes += static_cast<std::int64_t>(blocks.size());
    }
}

net::awaitable<void> worker_standin::answer_plain(const http::request& message,
                                                  http::reply_writer& reply)
{
    co_await pause(m_plain_call_time);
    if (m_lost_answers > 0)
    {
        --m_lost_answers;
        reply.abort_stream();
        throw boost::system::system_error(net::error::connection_aborted);
    }
    http::response answer = json_answer(
        http::status::ok,
        {{"path", http::path_of(message.target())}, {"server", m_settings.id}});
    answer.set("Request-Id", message["Request-Id"]);
    answer.set("Response-Seal", "seal-" + m_settings.id);
    announce(answer);
    if (!m_is_unframed)
    {
        co_await reply.send(std::move(answer));
        co_return;
    }
    reply.set_stream_framing(http::body_framing::until_close);
    const std::string body = std::exchange(answer.body(), {});
    answer.erase(http::field::content_length);
    co_await reply.begin_stream(std::move(answer));
    co_await reply.write_chunk(body);
}

bool worker_standin::makes_server_crash(const http::request& message) const
{
    const std::string_view prompt = message["Prompt-Prefix"];
    return !m_crash_part.empty() &&
           ("," + std::string(prompt)).find("," + m_crash_part + ":") !=
               std::string::npos;
}

net::awaitable<void> worker_standin::stream(const http::request& message,
                                            http::reply_writer& reply)
{
    http::response head{http::status::ok, 11};
    head.set(http::field::content_type, "text/event-stream");
    head.set("Request-Id", message["Request-Id"]);
    head.set("Response-Seal", "seal-" + m_settings.id);
    announce(head);
    if (m_is_unframed)
    {
        reply.set_stream_framing(http::body_framing::until_close);
    }
    co_await reply.begin_stream(std::move(head));
    co_await read_prompt(message);
    if (makes_server_crash(message))
    {
        co_await pause(m_settings.event_gap);
        co_await reply.write_chunk(
            m_crashes_behind_event ? "id: 1\ndata: piece\n\n" : "id: 1\nda");
        std::_Exit(crash_status);
    }
    const bool is_broken = m_broken_streams > 0;
    m_broken_streams -= is_broken ? 1 : 0;
    const int first = parse_number(message["Last-Event-Id"]) + 1;
    for (int n = first; n <= events_per_stream; ++n)
    {
        if (is_broken && n == first + events_before_break)
        {
            co_await reply.write_chunk("id: " + std::to_string(n) + "\nda");
            if (m_is_unframed)
            {
                co_return;
            }
            reply.abort_stream();
            throw boost::system::system_error(net::error::connection_aborted);
        }
        co_await pause(m_settings.event_gap);
        std::string event =
            m_settings.software_version == first_version
                ? "data: piece\n\n"
                : "data: piece of " + m_settings.software_version + "\n\n";
        if (!m_are_events_unnumbered)
        {
            event = "id: " + std::to_string(n) + "\n" + event;
        }
        co_await reply.write_chunk(event);
    }
    co_await reply.end_stream();
}

} // namespace cicadahub::standin
