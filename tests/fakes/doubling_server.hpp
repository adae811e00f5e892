#pragma once

#include "http/types.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <thread>

namespace cicadahub::fakes
{

namespace net = boost::asio;

/// Engine on loopback, on a thread of its own, that responds to each request a
/// second time, late: just before the response to the next request on that
/// connection. It holds no models; the first order conflicts, all others are
/// accepted. What arrives late is the acceptance of an order.
class doubling_server
{
public:
    explicit doubling_server(const http::endpoint& address)
        : m_acceptor(m_context, address)
    {
        net::co_spawn(m_context, accept_loop(), net::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~doubling_server()
    {
        m_context.stop();
        m_thread.join();
    }

    doubling_server(const doubling_server&) = delete;
    doubling_server& operator=(const doubling_server&) = delete;

    int orders() const { return m_orders; }

private:
    static constexpr auto no_throw = net::as_tuple(net::use_awaitable);

    net::awaitable<void> accept_loop()
    {
        while (true)
        {
            auto [ec, socket] = co_await m_acceptor.async_accept(no_throw);
            if (ec)
            {
                co_return;
            }
            net::co_spawn(m_context, serve(std::move(socket)), net::detached);
        }
    }

    net::awaitable<void> serve(net::ip::tcp::socket socket)
    {
        boost::beast::flat_buffer buf;
        for (int n = 0;; ++n)
        {
            http::request message;
            const auto [ec, size] = co_await http::beast_http::async_read(
                socket, buf, message, no_throw);
            if (ec)
            {
                co_return;
            }
            if (n > 0)
            {
                http::response late = response(http::status::accepted, "{}");
                co_await write(socket, std::move(late));
            }
            http::response own = respond(message);
            co_await write(socket, std::move(own));
        }
    }

    static net::awaitable<void> write(net::ip::tcp::socket& socket,
                                      http::response it)
    {
        co_await http::beast_http::async_write(socket, it, no_throw);
    }

    static http::response response(http::status code, std::string body)
    {
        http::response it{code, 11};
        it.body() = std::move(body);
        it.prepare_payload();
        return it;
    }

    http::response respond(const http::request& message)
    {
        if (http::path_of(message.target()) != "/v1/order")
        {
            return report();
        }
        ++m_orders;
        return response(m_orders == 1 ? http::status::conflict
                                      : http::status::accepted,
                        "{}");
    }

    static http::response report()
    {
        return response(http::status::ok,
                        R"({"stage":"both","models":[],"busy":false,"seq":0,)"
                        R"("available":{"inMemory":[],"onDisk":[]}})");
    }

    net::io_context m_context;
    net::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_orders = 0;
    std::thread m_thread;
};

} // namespace cicadahub::fakes
