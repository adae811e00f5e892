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
    boost::json::object json;
    json["path"] = path;
    json["runs"] = runs;
    co_await reply.send(
        http::json_response(http::status::ok, boost::json::serialize(json)));
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
