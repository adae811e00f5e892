#include "entry/servers/reach_monitor.hpp"

#include "daemon/pause.hpp"
#include "scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace cicadahub::entry
{
namespace
{

const server_id lost_server("lost");
const server_id other_server("other");

/// How the server behaves whose connection was lost.
enum class server_end
{
    sound,
    /// Its process has ended.
    ended,
    /// Its process ends, and its listening socket last.
    ending,
    /// Reachable again once another server is asked.
    unreachable_for_a_moment,
};

struct loss_case
{
    const char* name;
    server_end end;
    connection_loss loss;
    bool is_other_reachable;
    loss_cause cause;
    /// Other hosts reach servers all the while.
    bool has_contact_elsewhere = false;
};

void PrintTo(const loss_case& it, std::ostream* out)
{
    *out << it.name;
}

net::ip::address loopback()
{
    return net::ip::address_v4::loopback();
}

serving::server_entry read_server(const platform::stored_object& it)
{
    serving::server_entry entry;
    entry.id = server_id(it.name);
    entry.service = service_id("service");
    entry.revision = it.version;
    entry.address = {loopback(), static_cast<std::uint16_t>(
                                     it.spec.at("port").to_number<int>())};
    return entry;
}

/// A host with two servers, one of which has lost its connection.
class lost_connections : public testing::TestWithParam<loss_case>
{
protected:
    using acceptor = net::ip::tcp::acceptor;

    lost_connections()
    {
        m_lost.emplace(m_context, http::endpoint(loopback(), 0));
        m_lost_address = m_lost->local_endpoint();
        m_other.emplace(m_context,
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                        fakes::connection_end::stays_open);
        for (const server_id& it : {lost_server, other_server})
        {
            const http::endpoint address =
                it == lost_server ? m_lost_address : m_other->address();
            platform::stored_object object;
            object.name = it.value();
            object.version = object_version(1);
            object.spec["port"] = address.port();
            m_servers.apply(object);
        }
        m_monitor.start([this](const server_id& it) { return question(it); },
                        [this] { on_change(); });
    }

    void on_change()
    {
        if (m_monitor.asks_others() && GetParam().has_contact_elsewhere)
        {
            net::co_spawn(m_context, tell_contact(), net::detached);
        }
    }

    net::awaitable<void> tell_contact()
    {
        constexpr milliseconds time_to_answer{200};
        co_await daemon::pause(m_context, time_to_answer);
        m_monitor.on_contact_elsewhere(monotonic_clock::now());
    }

    http::request question(const server_id& it)
    {
        if (it == other_server &&
            GetParam().end == server_end::unreachable_for_a_moment)
        {
            m_lost.emplace(m_context, m_lost_address, true);
        }
        return http::make_request(http::verb::get, "/");
    }

    net::awaitable<void> lose_connection()
    {
        constexpr milliseconds end_of_process{5};
        const server_end end = GetParam().end;
        if (end == server_end::ended ||
            end == server_end::unreachable_for_a_moment)
        {
            m_lost.reset();
        }
        if (!GetParam().is_other_reachable)
        {
            m_other.reset();
        }
        if (end == server_end::ending)
        {
            net::co_spawn(
                m_context,
                [&]() -> net::awaitable<void>
                {
                    co_await daemon::pause(m_context, end_of_process);
                    m_lost.reset();
                },
                net::detached);
        }
        m_cause =
            co_await m_monitor.find_cause(m_lost_address, GetParam().loss);
        m_context.stop();
    }

    net::io_context m_context;
    http::client_pool m_pool{m_context, milliseconds(500), 4};
    document_dialect m_documents{{}, {}, read_server};
    server_table m_servers{m_documents};
    std::mt19937_64 m_random{1};
    std::optional<acceptor> m_lost;
    std::optional<fakes::scripted_server> m_other;
    http::endpoint m_lost_address;
    reach_monitor m_monitor{m_context, m_pool, m_servers, m_random};
    std::optional<loss_cause> m_cause;
};

// Guards against crashes that are missed, also where all servers have ended, so
// that the request goes on to crash servers, and against sound requests that
// are taken for the cause of crashes.
TEST_P(lost_connections, are_crashes_only_if_the_server_has_ended)
{
    net::co_spawn(m_context, lose_connection(), net::detached);
    m_context.run_for(seconds(5));
    ASSERT_TRUE(m_cause);
    EXPECT_EQ(*m_cause, GetParam().cause);
}

INSTANTIATE_TEST_SUITE_P(
    reach_monitor, lost_connections,
    testing::Values(
        loss_case{"sound", server_end::sound, connection_loss::within_answer,
                  true, loss_cause::other},
        loss_case{"sound_before_answer", server_end::sound,
                  connection_loss::before_answer, true, loss_cause::other},
        loss_case{"ended", server_end::ended, connection_loss::within_answer,
                  true, loss_cause::crash},
        loss_case{"ended_before_answer", server_end::ended,
                  connection_loss::before_answer, true, loss_cause::crash},
        loss_case{"ending", server_end::ending, connection_loss::within_answer,
                  true, loss_cause::crash},
        loss_case{"ending_before_answer", server_end::ending,
                  connection_loss::before_answer, true, loss_cause::crash},
        loss_case{"gone_before", server_end::ended, connection_loss::not_opened,
                  true, loss_cause::other},
        loss_case{"unreachable_for_a_moment",
                  server_end::unreachable_for_a_moment,
                  connection_loss::within_answer, true, loss_cause::other},
        loss_case{"cut_off", server_end::ended, connection_loss::within_answer,
                  false, loss_cause::host, true},
        loss_case{"cut_off_before_sending", server_end::ended,
                  connection_loss::not_opened, false, loss_cause::host, true},
        loss_case{"all_ended", server_end::ended,
                  connection_loss::within_answer, false, loss_cause::crash},
        loss_case{"all_ended_before_answer", server_end::ended,
                  connection_loss::before_answer, false, loss_cause::crash},
        loss_case{"all_ended_before_sending", server_end::ended,
                  connection_loss::not_opened, false, loss_cause::other}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::entry
