#include "service_standin.hpp"

#include "core/json_reader.hpp"

namespace cicadahub::standin
{

service_standin::service_standin(net::io_context& context) : m_context(context)
{
}

net::awaitable<void> service_standin::serve(http::request& message,
                                            http::reply_writer& reply)
{
    const std::string_view path = http::path_of(message.target());
    if (path == "/stats")
    {
        co_await reply.send(stats());
        co_return;
    }
    if (path == "/faults")
    {
        const boost::json::object json = parse_json_object(message.body());
        const json_reader reader(json);
        m_lost_answers = reader.integer_or("lose_answers", m_lost_answers);
        m_work = milliseconds(reader.integer_or("work_ms", m_work.count()));
        m_faults.read(reader);
        co_await reply.send(http::json_response(http::status::ok, "{}"));
        co_return;
    }
    const std::string_view id = message["X-Request-Id"];
    const std::int64_t runs =
        ++m_runs[id.empty() ? message.body() : std::string(id)];
    m_keys_seen += message.count(http::field::authorization);
    net::steady_timer timer(m_context, m_work);
    co_await timer.async_wait(net::use_awaitable);
    if (m_lost_answers > 0)
    {
        --m_lost_answers;
        reply.abort_stream();
        throw boost::system::system_error(net::error::connection_aborted);
    }
    const auto fault = m_faults.take_next();
    if (fault.has_stale_response)
    {
        co_await reply.send(m_faults.stale_response());
    }
    boost::json::object json;
    json["path"] = path;
    json["runs"] = runs;
    http::response answer =
        fault.is_promise ? m_faults.promise()
                         : http::json_response(http::status::ok,
                                               boost::json::serialize(json));
    m_faults.name_request(answer, message);
    co_await reply.send(std::move(answer));
}

http::response service_standin::stats() const
{
    boost::json::object runs;
    for (const auto& [id, n] : m_runs)
    {
        runs[id] = n;
    }
    boost::json::object json;
    json["runs"] = std::move(runs);
    json["keys_seen"] = m_keys_seen;
    return http::json_response(http::status::ok, boost::json::serialize(json));
}

} // namespace cicadahub::standin
