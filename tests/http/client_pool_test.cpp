#include "http/client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace cicadahub::http
{
namespace
{

using socket = net::ip::tcp::socket;

/// An idle connection as the two ends have it.
struct idle_connection
{
    client_pool& pool;
    endpoint address;
    client_pool::connection_pointer client;
    socket& server;
};

struct idle_case
{
    const char* name;
    /// Happens while the client still has the connection.
    void (*before_release)(idle_connection& it);
    /// Happens while it is idle.
    void (*while_idle)(idle_connection& it);
    bool is_reused;
};

void PrintTo(const idle_case& it, std::ostream* out)
{
    *out << it.name;
}

void nothing(idle_connection& /*it*/) {}

void close_server(idle_connection& it)
{
    it.server.close();
}

void reset_server(idle_connection& it)
{
    it.server.set_option(net::socket_base::linger(true, 0));
    it.server.close();
}

void send_unasked(idle_connection& it)
{
    net::write(it.server, net::buffer("HTTP/1.1 200 OK\r\n"));
}

void leave_unread(idle_connection& it)
{
    it.client->buf.commit(it.client->buf.prepare(1).size());
}

void pass_keep_alive_time(idle_connection& it)
{
    it.client->reusable_until = monotonic_clock::now();
}

void keep_longer(idle_connection& it)
{
    it.client->reusable_until = monotonic_clock::now() + seconds(60);
}

void drop(idle_connection& it)
{
    it.pool.drop_idle(it.address);
}

class idle_connections : public testing::TestWithParam<idle_case>
{
};

TEST_P(idle_connections, are_reused_only_while_nothing_voids_them)
{
    constexpr milliseconds delivery{50};
    net::io_context context;
    net::ip::tcp::acceptor acceptor(context,
                                    {net::ip::address_v4::loopback(), 0});
    client_pool pool(context, milliseconds(500), 4);
    std::optional<bool> is_reused;
    const auto run = [&]() -> net::awaitable<void>
    {
        const endpoint address = acceptor.local_endpoint();
        auto client = co_await pool.acquire(address);
        socket server = co_await acceptor.async_accept(net::use_awaitable);
        idle_connection it{pool, address, std::move(client), server};
        GetParam().before_release(it);
        pool.release(address, std::move(it.client));
        GetParam().while_idle(it);
        net::steady_timer timer(context, delivery);
        co_await timer.async_wait(net::use_awaitable);
        const auto next = co_await pool.acquire(address);
        is_reused = next->completed_exchanges > 0;
    };
    net::co_spawn(context, run(), net::detached);
    context.run_for(seconds(5));
    ASSERT_TRUE(is_reused);
    EXPECT_EQ(*is_reused, GetParam().is_reused);
}

INSTANTIATE_TEST_SUITE_P(
    client_pool, idle_connections,
    testing::Values(idle_case{"idle", nothing, nothing, true},
                    idle_case{"within_keep_alive", keep_longer, nothing, true},
                    idle_case{"past_keep_alive", pass_keep_alive_time, nothing,
                              false},
                    idle_case{"closed", nothing, close_server, false},
                    idle_case{"reset", nothing, reset_server, false},
                    idle_case{"unasked_bytes", nothing, send_unasked, false},
                    idle_case{"unread_bytes", leave_unread, nothing, false},
                    idle_case{"after_a_failure", nothing, drop, false}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a host that runs out of descriptors since it keeps its
// connections to servers that have left (review/10).
TEST(client_pool, closes_connections_to_servers_that_are_not_asked_again)
{
    constexpr std::size_t left = 3;
    constexpr milliseconds longer_than_the_check{1'100};
    net::io_context context;
    std::size_t while_open = 0;
    std::size_t after_close = 0;
    const auto run = [&]() -> net::awaitable<void>
    {
        client_pool pool(context, milliseconds(500), 4);
        std::vector<net::ip::tcp::acceptor> acceptors;
        std::vector<socket> servers;
        std::vector<client_pool::connection_pointer> used;
        for (std::size_t n = 0; n <= left; ++n)
        {
            acceptors.emplace_back(
                context, endpoint{net::ip::address_v4::loopback(), 0});
            used.push_back(
                co_await pool.acquire(acceptors.back().local_endpoint()));
            servers.push_back(
                co_await acceptors.back().async_accept(net::use_awaitable));
        }
        for (std::size_t n = 0; n < left; ++n)
        {
            pool.release(acceptors[n].local_endpoint(), std::move(used[n]));
        }
        net::steady_timer timer(context, longer_than_the_check);
        co_await timer.async_wait(net::use_awaitable);
        const endpoint last = acceptors[left].local_endpoint();
        pool.release(last, std::move(used[left]));
        while_open = pool.idle_count();
        for (std::size_t n = 0; n < left; ++n)
        {
            servers[n].close();
        }
        timer.expires_after(longer_than_the_check);
        co_await timer.async_wait(net::use_awaitable);
        pool.release(last, co_await pool.acquire(last));
        after_close = pool.idle_count();
    };
    net::co_spawn(context, run(), net::detached);
    context.run_for(seconds(10));
    EXPECT_EQ(while_open, left + 1);
    EXPECT_EQ(after_close, 1U);
}

} // namespace
} // namespace cicadahub::http
