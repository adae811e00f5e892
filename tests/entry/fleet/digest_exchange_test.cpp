#include "entry/fleet/digest_exchange.hpp"

#include "fleet/digest_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

namespace cicadahub::entry
{
namespace
{

constexpr document_dialect documents{"main", nullptr, nullptr};

http::endpoint free_endpoint()
{
    net::io_context context;
    const net::ip::udp::socket socket(context,
                                      {net::ip::address_v4::loopback(), 0});
    const auto it = socket.local_endpoint();
    return {it.address(), it.port()};
}

// Guards against a daemon that no longer hears the others because of one
// message that it could not process.
TEST(digest_exchange, goes_on_after_a_digest_that_cannot_be_processed)
{
    net::io_context context(1);
    entry_settings settings;
    settings.name = daemon_id("self");
    settings.fleet = free_endpoint();
    entry_state state(context, settings, documents);
    int received = 0;
    digest_exchange subject(
        state, [](fleet::wire::Digest&, time_point) {},
        [&](const peer&)
        {
            ++received;
            throw std::length_error("unexpected");
        },
        [] { return false; });
    subject.start();
    net::ip::udp::socket sender(context, net::ip::udp::v4());
    const net::ip::udp::endpoint to(settings.fleet.address(),
                                    settings.fleet.port());
    for (int n = 1; n <= 2; ++n)
    {
        fleet::wire::Digest it;
        it.sender = "peer";
        it.incarnation = 1;
        it.number = n;
        sender.send_to(net::buffer(fleet::encode_digest(it)), to);
        sender.send_to(net::buffer(std::string("no digest")), to);
    }
    context.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(received, 2);
}

/// A host and a peer that is neither the holder of the placement lease nor a
/// watcher of the store.
class digest_updates : public testing::Test
{
protected:
    digest_updates()
    {
        m_settings.name = daemon_id("self");
        m_settings.fleet = free_endpoint();
        m_state.emplace(m_context, m_settings, documents);
        m_subject.emplace(
            *m_state, [](fleet::wire::Digest&, time_point) {},
            [](const peer&) {}, [] { return false; });
        m_subject->add_address({m_peer.local_endpoint().address(),
                                m_peer.local_endpoint().port()});
        m_peer.non_blocking(true);
        m_subject->start();
        run_for(milliseconds(50));
        receive();
    }

    void run_for(milliseconds it)
    {
        m_context.restart();
        m_context.run_for(it);
    }

    /// Incremental digests that the peer got since the last call.
    std::vector<fleet::wire::Digest> receive()
    {
        std::vector<fleet::wire::Digest> updates;
        std::vector<char> buf(64 * 1024);
        boost::system::error_code ec;
        while (true)
        {
            const std::size_t n = m_peer.receive(net::buffer(buf), 0, ec);
            if (ec)
            {
                return updates;
            }
            auto it = fleet::decode_digest(std::string_view(buf.data(), n));
            if (it.is_update)
            {
                updates.push_back(std::move(it));
            }
        }
    }

    net::io_context m_context{1};
    entry_settings m_settings;
    net::ip::udp::socket m_peer{m_context,
                                {net::ip::address_v4::loopback(), 0}};
    std::optional<entry_state> m_state;
    std::optional<digest_exchange> m_subject;
};

// Guards against links that are full of updates after a crash: each change at
// a host was told to all hosts for as long as the crash was news.
TEST_F(digest_updates, tell_all_hosts_of_a_crash_once)
{
    m_state->suspects.on_crash(suspicion::fingerprint("request"),
                               monotonic_clock::now());
    m_subject->send_update_to_all_soon();
    run_for(milliseconds(20));
    const auto told = receive();
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front().crashes.size(), 1U);
    for (int n = 0; n < 8; ++n)
    {
        m_subject->send_update_soon();
        run_for(milliseconds(20));
    }
    EXPECT_TRUE(receive().empty());
    m_subject->send_update_to_all_soon();
    run_for(milliseconds(20));
    const auto next = receive();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_TRUE(next.front().crashes.empty());
}

TEST_F(digest_updates, may_wait_for_the_next_beacon)
{
    for (int n = 0; n < 8; ++n)
    {
        m_subject->send_next_update_to_all();
        run_for(milliseconds(5));
    }
    EXPECT_TRUE(receive().empty());
    run_for(fleet_view::beacon_period);
    EXPECT_LE(receive().size(), 1U);
}

// Guards against digests to all hosts that fill the host's own link, so that
// closes, readiness checks and requests wait behind them, and the last
// receivers lose contact with this host.
TEST(digest_bursts, leave_half_of_the_link_to_requests)
{
    constexpr std::size_t hosts = 70;
    constexpr milliseconds window{100};
    net::io_context context(1);
    entry_settings settings;
    settings.name = daemon_id("self");
    settings.fleet = free_endpoint();
    settings.link_bytes_per_second = 1.25e6;
    entry_state state(context, settings, documents);
    // After a mass crash a digest has some 3 kB.
    for (int n = 0; n < 64; ++n)
    {
        const std::string request = std::to_string(n) + std::string(32, 'f');
        state.suspects.on_crash(suspicion::fingerprint(request),
                                monotonic_clock::now());
    }
    digest_exchange subject(
        state, [](fleet::wire::Digest&, time_point) {}, [](const peer&) {},
        [] { return false; });
    std::vector<net::ip::udp::socket> receivers;
    std::vector<std::vector<char>> bufs(hosts, std::vector<char>(64 * 1024));
    std::set<std::size_t> reached;
    std::vector<std::pair<time_point, std::size_t>> arrivals;
    for (std::size_t n = 0; n < hosts; ++n)
    {
        auto& it = receivers.emplace_back(
            context,
            net::ip::udp::endpoint(net::ip::address_v4::loopback(), 0));
        subject.add_address(
            {it.local_endpoint().address(), it.local_endpoint().port()});
    }
    for (std::size_t n = 0; n < hosts; ++n)
    {
        receivers[n].async_receive(
            net::buffer(bufs[n]),
            [&, n](boost::system::error_code, std::size_t bytes)
            {
                reached.insert(n);
                arrivals.emplace_back(monotonic_clock::now(), bytes);
            });
    }
    subject.start();
    context.run_for(std::chrono::seconds(2));
    EXPECT_EQ(reached.size(), hosts);
    for (const auto& [first, ignored] : arrivals)
    {
        std::size_t sum = 0;
        for (const auto& [at, bytes] : arrivals)
        {
            sum += at >= first && at < first + window ? bytes : 0;
        }
        EXPECT_LE(static_cast<double>(sum),
                  0.5 * settings.link_bytes_per_second * 0.12 + 4'000);
    }
}

// Guards against an update for each request that looks for a server again,
// which all do whenever one of them ends.
TEST(wait_queue, tells_of_a_request_once)
{
    net::io_context context(1);
    wait_queue subject(context);
    int told = 0;
    subject.set_change_handler([&] { ++told; });
    const auto waiter = subject.make_waiter();
    waiter->copy = replicas::copy_name{model_id("m"), std::nullopt};
    const auto run = [&]() -> net::awaitable<void>
    {
        for (int n = 0; n < 5; ++n)
        {
            co_await subject.wait(waiter, milliseconds(1));
        }
    };
    net::co_spawn(context, run(), net::detached);
    context.run_for(seconds(1));
    EXPECT_EQ(told, 1);
}

} // namespace
} // namespace cicadahub::entry
