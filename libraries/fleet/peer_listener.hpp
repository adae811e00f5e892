#pragma once

#include "core/event_log.hpp"
#include "fleet/frame_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <concepts>
#include <deque>
#include <map>
#include <memory>

namespace cicadahub::fleet
{

namespace net = boost::asio;

/// Handler of messages from peers: `on_message` returns the reply to one
/// message.
template<class Handler>
concept message_handler = requires(Handler& handler, wire::Body body)
{
    {
        handler.on_message(std::move(body))
        } -> std::same_as<net::awaitable<wire::Body>>;
};

/// Accepts connections of other daemons. The replies on one connection are sent
/// as their requests finish, not in the order of the requests.
template<message_handler Handler>
class peer_listener
{
public:
    peer_listener(net::io_context& context,
                  const net::ip::tcp::endpoint& address, Handler& handler)
        : m_context(context), m_handler(handler), m_acceptor(context, address)
    {
    }

    void start() { net::co_spawn(m_context, accept_loop(), net::detached); }

    void stop()
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
    }

    net::ip::tcp::endpoint local_endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    using socket_pointer = std::shared_ptr<net::ip::tcp::socket>;

    net::awaitable<void> accept_loop()
    {
        constexpr auto token = net::as_tuple(net::use_awaitable);
        while (m_acceptor.is_open())
        {
            auto [ec, socket] = co_await m_acceptor.async_accept(token);
            if (ec)
            {
                continue;
            }
            socket.set_option(net::ip::tcp::no_delay(true), ec);
            auto shared =
                std::make_shared<net::ip::tcp::socket>(std::move(socket));
            net::co_spawn(m_context, read_loop(std::move(shared)),
                          net::detached);
        }
    }

    net::awaitable<void> read_loop(socket_pointer socket)
    {
        std::array<unsigned char, frame_length_bytes> head{};
        std::string payload;
        try
        {
            for (;;)
            {
                co_await net::async_read(*socket, net::buffer(head),
                                         net::use_awaitable);
                payload.resize(decode_length(head));
                co_await net::async_read(*socket, net::buffer(payload),
                                         net::use_awaitable);
                net::co_spawn(m_context, answer(socket, decode_frame(payload)),
                              net::detached);
            }
        }
        catch (const malformed_frame& reason)
        {
            CICADAHUB_EVENT(WARNING, peer_frame_malformed)
                << "reason=" << reason.what();
        }
        catch (const boost::system::system_error&)
        {
            // The peer disconnected; it reconnects if it needs to.
        }
        boost::system::error_code ec;
        socket->close(ec);
    }

    net::awaitable<void> answer(socket_pointer socket, wire::Frame frame)
    {
        wire::Frame reply;
        reply.exchange = frame.exchange;
        reply.is_reply = true;
        reply.body = co_await m_handler.on_message(std::move(frame.body));
        if (frame.exchange == 0)
        {
            co_return;
        }
        auto bytes = std::make_shared<std::string>(encode_frame(reply));
        enqueue_reply(socket, std::move(bytes));
    }

    /// Queues a reply, so that the frames of concurrent replies on one
    /// connection do not interleave.
    void enqueue_reply(const socket_pointer& socket,
                       std::shared_ptr<std::string> bytes)
    {
        auto& queue = m_writes[socket.get()];
        queue.push_back(std::move(bytes));
        if (queue.size() == 1)
        {
            net::co_spawn(m_context, write_loop(socket), net::detached);
        }
    }

    net::awaitable<void> write_loop(socket_pointer socket)
    {
        constexpr auto token = net::as_tuple(net::use_awaitable);
        auto& queue = m_writes[socket.get()];
        while (!queue.empty())
        {
            const auto bytes = queue.front();
            auto [ec, n] =
                co_await net::async_write(*socket, net::buffer(*bytes), token);
            queue.pop_front();
            if (ec)
            {
                break;
            }
        }
        m_writes.erase(socket.get());
    }

    net::io_context& m_context;
    Handler& m_handler;
    net::ip::tcp::acceptor m_acceptor;
    std::map<net::ip::tcp::socket*, std::deque<std::shared_ptr<std::string>>>
        m_writes;
};

} // namespace cicadahub::fleet
