#include "http/client.hpp"

#include "http/dead_peer_detection.hpp"
#include "http/message_head.hpp"
#include "http/response_reading.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cicadahub::http
{

namespace
{

/// Idle connections are looked at this often while others are returned.
constexpr milliseconds idle_check_period{1'000};

/// Timers run some milliseconds late on any host.
constexpr milliseconds tolerated_lateness{100};

net::awaitable<response> exchange(client_connection& connection,
                                  request message)
{
    const std::string head = serialize_head(message);
    co_await net::async_write(connection.stream,
                              wire_buffers(head, message.body()),
                              net::use_awaitable);
    std::optional<response_head_parser> parser;
    co_await read_response_head(connection, parser, message.method());
    full_response it = co_await read_full_response(connection, *parser);
    connection.stream.expires_never();
    co_return std::move(it.message);
}

} // namespace

bool is_open_and_idle(client_connection& it)
{
    boost::system::error_code ec;
    char byte = 0;
    it.stream.socket().receive(net::buffer(&byte, 1),
                               net::socket_base::message_peek, ec);
    return ec == net::error::would_block;
}

client_pool::client_pool(net::io_context& context, milliseconds connect_timeout,
                         std::size_t idle_limit, response_limits limits,
                         std::shared_ptr<admission::memory_account> account)
    : client_pool(net::any_io_executor(context.get_executor()), connect_timeout,
                  idle_limit, limits, std::move(account))
{
}

client_pool::client_pool(net::any_io_executor executor,
                         milliseconds connect_timeout, std::size_t idle_limit,
                         response_limits limits,
                         std::shared_ptr<admission::memory_account> account)
    : m_executor(std::move(executor)), m_connect_timeout(connect_timeout),
      m_idle_limit(idle_limit), m_limits(limits),
      m_budget(std::make_shared<memory_budget>(limits.held_bytes,
                                               std::move(account)))
{
}

net::awaitable<client_pool::connection_pointer>
client_pool::acquire(const endpoint& address)
{
    auto it = m_idle.find(address);
    while (it != m_idle.end() && !it->second.empty())
    {
        connection_pointer connection = std::move(it->second.back());
        it->second.pop_back();
        if (is_open_and_idle(*connection) &&
            monotonic_clock::now() < connection->reusable_until)
        {
            co_return connection;
        }
    }
    co_return co_await connect(address);
}

net::awaitable<client_pool::connection_pointer>
client_pool::connect(const endpoint& address)
{
    co_return co_await connect(address, m_connect_timeout);
}

net::awaitable<client_pool::connection_pointer>
client_pool::connect(const endpoint& address, milliseconds timeout)
{
    auto connection =
        std::make_unique<client_connection>(m_executor, m_limits, m_budget);
    connection->stream.socket().open(address.protocol());
    connection->stream.socket().set_option(
        net::socket_base::receive_buffer_size(receive_buffer_bytes));
    connection->stream.expires_after(timeout);
    co_await connection->stream.async_connect(address, net::use_awaitable);
    connection->stream.socket().set_option(net::ip::tcp::no_delay(true));
    connection->stream.socket().non_blocking(true);
    set_dead_peer_timing(connection->stream.socket(), default_dead_peer_timing);
    co_return connection;
}

void client_pool::release(const endpoint& address, connection_pointer it)
{
    ++it->completed_exchanges;
    keep(address, std::move(it));
}

void client_pool::keep(const endpoint& address, connection_pointer it)
{
    close_ended(monotonic_clock::now());
    it->stream.expires_never();
    it->deadline = time_point::max();
    auto& idle = m_idle[address];
    if (idle.size() < m_idle_limit && it->buf.size() == 0)
    {
        idle.push_back(std::move(it));
    }
}

std::size_t client_pool::idle_count() const
{
    std::size_t n = 0;
    for (const auto& [address, idle] : m_idle)
    {
        n += idle.size();
    }
    return n;
}

void client_pool::close_ended(time_point now)
{
    if (now < m_checked_at + idle_check_period)
    {
        return;
    }
    m_checked_at = now;
    for (auto& [address, idle] : m_idle)
    {
        std::erase_if(
            idle, [&](const connection_pointer& it)
            { return now >= it->reusable_until || !is_open_and_idle(*it); });
    }
    std::erase_if(m_idle, [](const auto& it) { return it.second.empty(); });
}

void client_pool::drop_idle(const endpoint& address)
{
    m_idle.erase(address);
}

net::awaitable<response> fetch(client_pool& pool, endpoint address,
                               request message, milliseconds timeout,
                               std::function<bool()> may_send)
{
    time_point limit = monotonic_clock::now() + pool.connect_timeout();
    response answer;
    client_pool::connection_pointer connection;
    try
    {
        connection = co_await pool.acquire(address);
        if (may_send && !may_send())
        {
            pool.release(address, std::move(connection));
            throw boost::system::system_error(net::error::operation_aborted);
        }
        limit = monotonic_clock::now() + timeout;
        connection->set_deadline(limit);
        answer = co_await exchange(*connection, message);
    }
    catch (const boost::system::system_error& reason)
    {
        if (reason.code() == boost::beast::error::timeout &&
            monotonic_clock::now() > limit + tolerated_lateness)
        {
            throw late_timeout(reason.code());
        }
        if (connection)
        {
            pool.drop_idle(address);
        }
        throw;
    }
    if (answer.keep_alive())
    {
        pool.release(address, std::move(connection));
    }
    co_return answer;
}

request make_request(verb method, std::string_view target, std::string body)
{
    request message{method, target, 11};
    message.set(field::host, "cicadahub");
    if (!body.empty())
    {
        message.set(field::content_type, "application/json");
        message.body() = std::move(body);
    }
    message.prepare_payload();
    return message;
}

} // namespace cicadahub::http
