#include "fleet/peer_link.hpp"

#include "core/event_log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cicadahub::fleet
{

namespace
{

constexpr milliseconds reconnect_delay{200};
constexpr milliseconds heartbeat_interval{1'000};
constexpr milliseconds heartbeat_timeout{2'000};
constexpr auto no_throw = net::as_tuple(net::use_awaitable);

} // namespace

peer_link::peer_link(net::io_context& context, daemon_id peer,
                     net::ip::tcp::endpoint address)
    : m_context(context), m_peer(std::move(peer)), m_address(address),
      m_socket(context), m_queue_changed(context)
{
}

void peer_link::start()
{
    net::co_spawn(
        m_context, [self = shared_from_this()] { return self->run(); },
        net::detached);
}

void peer_link::stop()
{
    m_is_stopped = true;
    drop_connection();
    m_queue_changed.cancel();
}

net::awaitable<void> peer_link::run()
{
    while (!m_is_stopped)
    {
        m_socket = net::ip::tcp::socket(m_context);
        auto [ec] = co_await m_socket.async_connect(m_address, no_throw);
        if (!ec && !m_is_stopped)
        {
            m_socket.set_option(net::ip::tcp::no_delay(true), ec);
            m_is_connected = true;
            CICADAHUB_EVENT(INFO, peer_connected) << "peer=" << m_peer;
            ++m_connection;
            const auto self = shared_from_this();
            net::co_spawn(
                m_context,
                [self] { return self->write_loop(self->m_connection); },
                net::detached);
            net::co_spawn(
                m_context,
                [self] { return self->heartbeat_loop(self->m_connection); },
                net::detached);
            co_await read_loop();
            drop_connection();
            CICADAHUB_EVENT(INFO, peer_lost) << "peer=" << m_peer;
        }
        else
        {
            fail_pending();
        }
        net::steady_timer timer(m_context, reconnect_delay);
        co_await timer.async_wait(no_throw);
    }
}

bool peer_link::is_current(std::uint64_t connection) const
{
    return m_is_connected && m_connection == connection;
}

net::awaitable<void> peer_link::write_loop(std::uint64_t connection)
{
    const auto self = shared_from_this();
    while (is_current(connection))
    {
        auto next = m_queue.pop();
        if (!next)
        {
            m_queue_changed.expires_at(net::steady_timer::time_point::max());
            co_await m_queue_changed.async_wait(no_throw);
            continue;
        }
        auto& [key, frame] = *next;
        const std::string bytes = encode_frame(frame);
        auto [ec, n] =
            co_await net::async_write(m_socket, net::buffer(bytes), no_throw);
        if (!ec)
        {
            continue;
        }
        const bool is_notice = frame.exchange == 0;
        if (is_notice && !m_queue.contains(key))
        {
            m_queue.push(key, std::move(frame));
        }
        if (is_current(connection))
        {
            drop_connection();
        }
    }
}

net::awaitable<void> peer_link::heartbeat_loop(std::uint64_t connection)
{
    const auto self = shared_from_this();
    while (is_current(connection))
    {
        wire::Body body;
        body.__set_acknowledgement({});
        try
        {
            co_await call(std::move(body), heartbeat_timeout);
        }
        catch (const peer_unavailable&)
        {
            if (is_current(connection))
            {
                drop_connection();
            }
            co_return;
        }
        net::steady_timer timer(m_context, heartbeat_interval);
        co_await timer.async_wait(no_throw);
    }
}

net::awaitable<void> peer_link::read_loop()
{
    std::array<unsigned char, frame_length_bytes> head{};
    std::string payload;
    while (m_is_connected)
    {
        auto [ec, n] =
            co_await net::async_read(m_socket, net::buffer(head), no_throw);
        if (ec)
        {
            co_return;
        }
        try
        {
            payload.resize(decode_length(head));
            co_await net::async_read(m_socket, net::buffer(payload),
                                     net::use_awaitable);
            wire::Frame frame = decode_frame(payload);
            const auto at = m_pending.find(frame.exchange);
            // A reply without a pending call arrived after the call timed out.
            if (frame.is_reply && at != m_pending.end())
            {
                at->second->reply = std::move(frame.body);
                at->second->timer.cancel();
            }
        }
        catch (const malformed_frame& reason)
        {
            CICADAHUB_EVENT(WARNING, peer_frame_malformed)
                << "peer=" << m_peer << " reason=" << reason.what();
            co_return;
        }
        catch (const boost::system::system_error&)
        {
            co_return;
        }
    }
}

net::awaitable<wire::Body> peer_link::call(wire::Body body,
                                           milliseconds timeout)
{
    const auto self = shared_from_this();
    const std::int64_t exchange = m_next_exchange++;
    auto pending = std::make_shared<pending_call>(m_context);
    m_pending.emplace(exchange, pending);
    wire::Frame frame;
    frame.exchange = exchange;
    frame.is_reply = false;
    frame.body = std::move(body);
    enqueue("ask." + std::to_string(exchange), std::move(frame));
    pending->timer.expires_after(timeout);
    co_await pending->timer.async_wait(no_throw);
    m_pending.erase(exchange);
    if (pending->reply)
    {
        co_return std::move(*pending->reply);
    }
    throw peer_unavailable(m_peer.value());
}

void peer_link::notify(const std::string& key, wire::Body body)
{
    wire::Frame frame;
    frame.exchange = 0;
    frame.is_reply = false;
    frame.body = std::move(body);
    enqueue(key, std::move(frame));
}

void peer_link::enqueue(const std::string& key, wire::Frame frame)
{
    m_queue.push(key, std::move(frame));
    m_queue_changed.cancel();
}

void peer_link::fail_pending()
{
    for (auto& [exchange, pending] : m_pending)
    {
        pending->timer.cancel();
    }
}

void peer_link::drop_connection()
{
    m_is_connected = false;
    boost::system::error_code ec;
    m_socket.close(ec);
    m_queue_changed.cancel();
    fail_pending();
}

} // namespace cicadahub::fleet
