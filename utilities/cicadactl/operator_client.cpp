#include "operator_client.hpp"

#include "core/json_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

namespace cicadahub::ctl
{

namespace
{

constexpr milliseconds connect_timeout{2'000};
constexpr milliseconds call_timeout{10'000};

} // namespace

operator_client::operator_client(http::endpoint daemon,
                                 std::string operator_name)
    : m_daemon(std::move(daemon)), m_operator_name(std::move(operator_name))
{
}

boost::json::object operator_client::call(http::verb method,
                                          const std::string& target,
                                          const std::string& body)
{
    return call_at(m_daemon, method, target, body);
}

boost::json::object operator_client::call_at(const http::endpoint& daemon,
                                             http::verb method,
                                             const std::string& target,
                                             const std::string& body)
{
    boost::asio::io_context context(1);
    http::client_pool pool(context, connect_timeout, 1);
    http::request message = http::make_request(method, target, body);
    message.set("X-Operator", m_operator_name);
    auto answer = boost::asio::co_spawn(
        context, http::fetch(pool, daemon, message, call_timeout),
        boost::asio::use_future);
    context.run();
    http::response response;
    try
    {
        response = answer.get();
    }
    catch (const boost::system::system_error& reason)
    {
        throw call_failed(http::to_string(daemon) + ": " +
                          reason.code().message());
    }
    if (response.result_int() >= 400)
    {
        throw call_failed(response.body());
    }
    return parse_json_object(response.body());
}

} // namespace cicadahub::ctl
