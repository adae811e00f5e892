#pragma once

#include "http/client.hpp"
#include "http/reply_writer.hpp"
#include "scripted_server.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_future.hpp>

#include <array>
#include <future>

namespace cicadahub::fakes
{

/// Bytes that a caller received, and whether their framing ends the response.
struct received_response
{
    std::string body;
    bool is_complete = false;
};

/// Connects a caller, a relay under test and a scripted server on loopback.
class relay_run
{
public:
    relay_run(const std::string& response, connection_end end,
              const std::string& endless = {})
        : relay_run(connection_scripts{{response}}, end, endless)
    {
    }

    /// The server answers by the same script on each connection.
    relay_run(std::vector<std::string> responses, connection_end end)
        : relay_run(connection_scripts{std::move(responses)}, end)
    {
    }

    /// The server answers by a script for each connection.
    relay_run(connection_scripts scripts, connection_end end,
              const std::string& endless = {})
        : m_server(m_context, std::move(scripts), end, endless),
          m_pool(m_context, milliseconds(1'000), 4), m_caller(m_context),
          m_stream(m_context)
    {
        net::ip::tcp::acceptor acceptor(m_context,
                                        {net::ip::address_v4::loopback(), 0});
        m_caller.connect(acceptor.local_endpoint());
        acceptor.accept(m_stream.socket());
    }

    http::client_pool& pool() { return m_pool; }

    /// From now on the caller receives all that is sent to it, and drops it.
    void drain_caller() { net::co_spawn(m_context, drain(), net::detached); }

    const scripted_server& server() const { return m_server; }

    /// Runs `relay`, a coroutine that gets the server's address and the writer
    /// of the response and returns its result.
    template<class Relay>
    auto run(Relay relay)
    {
        http::reply_writer reply(m_stream, true, milliseconds(1'000));
        auto result = net::co_spawn(m_context, relay(m_server.address(), reply),
                                    net::use_future);
        while (result.wait_for(seconds(0)) != std::future_status::ready)
        {
            m_context.run_one();
        }
        return result.get();
    }

    /// What the caller receives until the connection to it is closed.
    received_response receive()
    {
        m_stream.close();
        http::beast_http::response_parser<http::beast_http::string_body> parser;
        boost::beast::flat_buffer buf;
        boost::system::error_code ec;
        http::beast_http::read(m_caller, buf, parser, ec);
        return {parser.get().body(), !ec};
    }

private:
    net::awaitable<void> drain()
    {
        std::array<char, 64 * 1024> buf{};
        boost::system::error_code ec;
        while (!ec)
        {
            co_await m_caller.async_read_some(
                net::buffer(buf), net::redirect_error(net::use_awaitable, ec));
        }
    }

    net::io_context m_context;
    scripted_server m_server;
    http::client_pool m_pool;
    net::ip::tcp::socket m_caller;
    boost::beast::tcp_stream m_stream;
};

} // namespace cicadahub::fakes
