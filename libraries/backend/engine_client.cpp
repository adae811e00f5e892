#include "backend/engine_client.hpp"

#include "http/dead_peer_detection.hpp"
#include "http/message_head.hpp"
#include "http/response_reading.hpp"

#include "core/json_reader.hpp"
#include "decision/placement/replica_table.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cicadahub::backend
{

namespace
{

using placement::order_kind;
using placement::order_result;

http::request make_order_request(const placement::order_action& order)
{
    const bool is_adapter = placement::base_of(order.target.model).has_value();
    const bool is_load = order.kind == order_kind::load;
    boost::json::object body;
    std::string_view path;
    if (is_adapter)
    {
        body["lora_name"] = order.target.model.value();
        body["lora_path"] = order.target.model.value();
        path = is_load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter";
    }
    else
    {
        body["model"] = order.target.model.value();
        path = is_load ? "/models/load" : "/models/unload";
    }
    body["bytes"] = order.target.bytes.value();
    auto message = http::make_request(http::verb::post, path,
                                      boost::json::serialize(body));
    message.set(fencing_header, std::to_string(order.fence.value()));
    return message;
}

order_result result_of(http::status code)
{
    switch (code)
    {
    case http::status::ok:
        return order_result::done;
    case http::status::precondition_failed:
        return order_result::refused_by_fence;
    default:
        return order_result::failed;
    }
}

std::set<model_id> model_set(const json_reader& reader, std::string_view member)
{
    std::set<model_id> models;
    for (const boost::json::value& it : reader.array(member))
    {
        models.emplace(std::string(it.as_string()));
    }
    return models;
}

} // namespace

engine_client::engine_client(http::client_pool& pool,
                             milliseconds order_timeout,
                             milliseconds report_timeout)
    : m_pool(pool), m_order_timeout(order_timeout),
      m_report_timeout(report_timeout)
{
}

net::awaitable<order_result> engine_client::send(http::endpoint address,
                                                 placement::order_action order)
{
    const http::request message = make_order_request(order);
    http::client_pool::connection_pointer connection;
    try
    {
        // Each order uses a new connection, which is closed after the order.
        connection = co_await m_pool.connect(address);
    }
    catch (const boost::system::system_error&)
    {
        co_return order_result::failed;
    }
    try
    {
        // Bounds how late an order can arrive.
        http::dead_peer_timing timing;
        timing.unacknowledged = m_order_timeout;
        http::set_dead_peer_timing(connection->stream.socket(), timing);
        connection->set_timeout(m_order_timeout);
        const std::string head = http::serialize_head(message);
        co_await net::async_write(connection->stream,
                                  http::wire_buffers(head, message.body()),
                                  net::use_awaitable);
        std::optional<http::response_head_parser> parser;
        co_await http::read_response_head(*connection, parser,
                                          message.method());
        const http::full_response answer =
            co_await http::read_full_response(*connection, *parser);
        co_return result_of(answer.message.result());
    }
    catch (const boost::system::system_error&)
    {
        co_return order_result::unknown;
    }
}

net::awaitable<engine_report> engine_client::report(http::endpoint address)
{
    const auto answer = co_await http::fetch(
        m_pool, address, http::make_request(http::verb::get, "/report"),
        m_report_timeout);
    const boost::json::object json = parse_json_object(answer.body());
    const json_reader reader(json);
    engine_report it;
    it.boot_id = reader.text("boot_id");
    it.content.loaded = model_set(reader, "loaded");
    it.content.loading = model_set(reader, "loading");
    it.content.on_disk = model_set(reader, "on_disk");
    it.content.running = static_cast<std::uint32_t>(reader.integer("running"));
    it.content.waiting = static_cast<std::uint32_t>(reader.integer("waiting"));
    co_return it;
}

} // namespace cicadahub::backend
