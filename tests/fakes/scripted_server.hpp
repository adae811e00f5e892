#pragma once

#include "http/types.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace cicadahub::fakes
{

namespace net = boost::asio;

/// How a server ends a connection after its response.
enum class connection_end
{
    stays_open,
    closed,
    reset,
    /// The server sends no more, and reads no more either.
    sending_ended,
};

/// Responses to the requests of each connection, in their order.
using connection_scripts = std::vector<std::vector<std::string>>;

/// Backend server on loopback that answers each request with given bytes,
/// whatever the request is: the same bytes each time, or those that a script
/// has for the request's place on its connection. It reads heads of requests
/// only.
class scripted_server
{
public:
    /// `endless` follows the response again and again until the client closes
    /// the connection; nothing follows if it is empty.
    scripted_server(net::io_context& context, std::string response,
                    connection_end end, std::string endless = {})
        : scripted_server(context, connection_scripts{{std::move(response)}},
                          end, std::move(endless))
    {
    }

    /// One script for each connection, in the order in which they are opened.
    /// Its last entry, and the last script, also serve what comes later.
    scripted_server(net::io_context& context, connection_scripts scripts,
                    connection_end end, std::string endless = {})
        : m_acceptor(context, {net::ip::address_v4::loopback(), 0}),
          m_scripts(std::move(scripts)), m_end(end),
          m_endless(std::move(endless))
    {
        if (m_end == connection_end::sending_ended)
        {
            // What the server does not read soon fills the buffer.
            m_acceptor.set_option(net::socket_base::receive_buffer_size(
                small_receive_buffer_bytes));
        }
        net::co_spawn(context, accept_loop(), net::detached);
    }

    http::endpoint address() const { return m_acceptor.local_endpoint(); }

    /// Bytes of responses that the system accepted, also ones not received.
    std::size_t sent_bytes() const { return m_sent_bytes; }

private:
    static constexpr int small_receive_buffer_bytes = 4096;
    static constexpr auto no_throw = net::as_tuple(net::use_awaitable);

    net::awaitable<void> accept_loop()
    {
        for (std::size_t n = 0;; ++n)
        {
            auto [ec, socket] = co_await m_acceptor.async_accept(no_throw);
            if (ec)
            {
                co_return;
            }
            net::co_spawn(m_acceptor.get_executor(),
                          serve(std::move(socket),
                                m_scripts[std::min(n, m_scripts.size() - 1)]),
                          net::detached);
        }
    }

    net::awaitable<void> serve(net::ip::tcp::socket socket,
                               std::vector<std::string> script)
    {
        std::string received;
        for (std::size_t place = 0;; ++place)
        {
            auto [ec, n] = co_await net::async_read_until(
                socket, net::dynamic_buffer(received), "\r\n\r\n", no_throw);
            if (ec)
            {
                co_return;
            }
            received.erase(0, n);
            const std::string& response =
                script[std::min(place, script.size() - 1)];
            auto [write_error, sent] = co_await net::async_write(
                socket, net::buffer(response), no_throw);
            m_sent_bytes += sent;
            while (!m_endless.empty() && !write_error)
            {
                std::tie(write_error, sent) = co_await net::async_write(
                    socket, net::buffer(m_endless), no_throw);
                m_sent_bytes += sent;
            }
            if (m_end == connection_end::reset)
            {
                // A close with a linger time of zero sends a reset.
                socket.set_option(net::socket_base::linger(true, 0));
            }
            if (m_end == connection_end::sending_ended)
            {
                socket.shutdown(net::ip::tcp::socket::shutdown_send);
                m_unread.push_back(std::move(socket));
                co_return;
            }
            if (m_end != connection_end::stays_open)
            {
                // The destructor would ignore the linger time.
                socket.close();
                co_return;
            }
        }
    }

    net::ip::tcp::acceptor m_acceptor;
    connection_scripts m_scripts;
    connection_end m_end;
    std::string m_endless;
    std::vector<net::ip::tcp::socket> m_unread;
    std::size_t m_sent_bytes = 0;
};

} // namespace cicadahub::fakes
