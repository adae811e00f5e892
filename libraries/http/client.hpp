#pragma once

#include "core/units.hpp"
#include "http/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cicadahub::http
{

/// One connection to a server, with the bytes that it has read ahead.
struct client_connection
{
    explicit client_connection(net::io_context& context) : stream(context) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buf;
    /// False until a whole exchange has gone over the connection.
    bool has_completed_exchange = false;
    /// The server may close it, idle, from then on.
    time_point reusable_until = time_point::max();
};

/// Connections of one io_context, kept for reuse. Not shared among threads.
class client_pool
{
public:
    explicit client_pool(net::io_context& context, milliseconds connect_timeout,
                         std::size_t idle_limit);

    using connection_pointer = std::unique_ptr<client_connection>;

    /// An idle connection, or else a new one.
    net::awaitable<connection_pointer> acquire(const endpoint& address);

    /// A new connection, whatever is idle.
    net::awaitable<connection_pointer> connect(const endpoint& address);

    /// Gives back a connection whose exchange is complete.
    void release(const endpoint& address, connection_pointer it);

    /// Drops every idle connection to a server: they go silent as a group.
    void drop_idle(const endpoint& address);

    net::io_context& context() { return m_context; }

private:
    net::io_context& m_context;
    milliseconds m_connect_timeout;
    std::size_t m_idle_limit;
    std::map<endpoint, std::vector<connection_pointer>> m_idle;
};

/// Sends one request and reads the whole response, within `timeout`. A
/// connection that fails is closed, never reused.
/// `may_send` is asked immediately before the first byte goes out; if it says
/// no, nothing is sent and `operation_aborted` is thrown.
net::awaitable<response> fetch(client_pool& pool, endpoint address,
                               request message, milliseconds timeout,
                               std::function<bool()> may_send = {});

/// A request with the given body, ready to send.
request make_request(verb method, std::string_view target,
                     std::string body = {});

} // namespace cicadahub::http
