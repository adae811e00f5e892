#pragma once

#include "core/units.hpp"
#include "http/memory_budget.hpp"
#include "http/response_limits.hpp"
#include "http/types.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cicadahub::http
{

/// Client connection and the bytes that were received but not parsed yet.
struct client_connection
{
    client_connection(const net::any_io_executor& executor,
                      const response_limits& given,
                      std::shared_ptr<memory_budget> shared)
        : stream(executor), limits(given), budget(std::move(shared))
    {
    }

    /// Reads and writes fail from this moment on.
    void set_deadline(time_point it)
    {
        deadline = it;
        stream.expires_after(it - monotonic_clock::now());
    }

    void set_timeout(monotonic_clock::duration timeout)
    {
        set_deadline(monotonic_clock::now() + timeout);
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buf{read_buffer_limit_bytes};
    response_limits limits;
    std::shared_ptr<memory_budget> budget;
    time_point deadline = time_point::max();
    /// Requests that were sent and answered in full on the connection.
    std::uint32_t completed_exchanges = 0;
    /// Time from which the server may close the idle connection, by the
    /// Keep-Alive field of its last response.
    time_point reusable_until = time_point::max();
};

/// True if the server has neither closed the idle connection nor sent anything.
bool is_open_and_idle(client_connection& it);

/// Pool of idle connections for reuse, on one io_context. Not thread-safe.
class client_pool
{
public:
    /// The responses on all connections of the pool share one memory budget,
    /// which is part of `account`, unless that is null.
    client_pool(net::io_context& context, milliseconds connect_timeout,
                std::size_t idle_limit, response_limits limits = {},
                std::shared_ptr<admission::memory_account> account = {});
    /// The timers of the connections run on the executor; it should be that of
    /// the coroutines that use them, or a timer can overtake a response.
    client_pool(net::any_io_executor executor, milliseconds connect_timeout,
                std::size_t idle_limit, response_limits limits = {},
                std::shared_ptr<admission::memory_account> account = {});

    using connection_pointer = std::unique_ptr<client_connection>;

    /// Returns an idle connection, or opens a new one if none is usable.
    net::awaitable<connection_pointer> acquire(const endpoint& address);

    /// Opens a new connection, even if there are idle ones.
    net::awaitable<connection_pointer> connect(const endpoint& address);
    net::awaitable<connection_pointer> connect(const endpoint& address,
                                               milliseconds timeout);

    /// Returns a connection whose exchange is complete to the pool. It is
    /// closed if the pool is full or the server sent more than the response.
    void release(const endpoint& address, connection_pointer it);

    /// Adds a connection that carried no request to the pool, if there is room.
    void keep(const endpoint& address, connection_pointer it);

    /// Closes every idle connection to a server. After a failure on one of
    /// them the others are likely dead too.
    void drop_idle(const endpoint& address);

    std::size_t idle_count() const;

    const net::any_io_executor& executor() const { return m_executor; }
    milliseconds connect_timeout() const { return m_connect_timeout; }

private:
    /// Closes idle connections that the other side has closed or may close, as
    /// servers do that have left and are not asked again.
    void close_ended(time_point now);

    net::any_io_executor m_executor;
    milliseconds m_connect_timeout;
    std::size_t m_idle_limit;
    response_limits m_limits;
    std::shared_ptr<memory_budget> m_budget;
    std::map<endpoint, std::vector<connection_pointer>> m_idle;
    time_point m_checked_at{};
};

/// Thrown by `fetch` instead of a timeout that this process noticed late: it
/// may have been as late to read the response, so that the other side's silence
/// is not proven.
class late_timeout : public boost::system::system_error
{
public:
    using system_error::system_error;
};

/// Sends one request and reads the complete response within `timeout`, which
/// does not include the time to connect. A connection that fails is closed and
/// never reused. Throws `late_timeout` or another `system_error`. `may_send` is
/// called immediately before the first byte is sent; if it returns false,
/// nothing is sent and `operation_aborted` is thrown.
net::awaitable<response> fetch(client_pool& pool, endpoint address,
                               request message, milliseconds timeout,
                               std::function<bool()> may_send = {});

/// Builds a request; a body that is not empty is sent as JSON.
request make_request(verb method, std::string_view target,
                     std::string body = {});

} // namespace cicadahub::http
