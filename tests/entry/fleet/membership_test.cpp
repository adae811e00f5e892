#include "entry/fleet/fleet_view.hpp"

#include "simulation.hpp"

#include <gtest/gtest.h>

namespace cicadahub::entry
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};
constexpr double loss = 0.025;
constexpr std::size_t watcher_count = 2;
constexpr milliseconds step{50};

http::endpoint address_of(std::size_t host)
{
    constexpr std::size_t hosts_per_network = 250;
    return {boost::asio::ip::address_v4(
                {127, 0, static_cast<unsigned char>(host / hosts_per_network),
                 static_cast<unsigned char>(host % hosts_per_network + 1)}),
            7000};
}

/// What one host and the watchers see of a fleet. Each host sends full digests
/// with a period that grows with the fleet, and beacons to the watchers; the
/// watchers send beacons to all.
class membership_run
{
public:
    membership_run(std::uint64_t seed, std::size_t hosts)
        : m_simulation(seed), m_hosts(hosts), m_numbers(hosts),
          m_digest_at(hosts), m_views(watcher_count + 1)
    {
        const milliseconds period = digest_period();
        for (std::size_t n = 0; n < hosts; ++n)
        {
            m_digest_at[n] =
                start + milliseconds(m_simulation.pick(0, period.count()));
        }
    }

    /// Hosts that the observer has lost by then.
    std::size_t run_until(time_point end)
    {
        while (m_now < end)
        {
            m_now += step;
            for (std::size_t n = 0; n < m_hosts; ++n)
            {
                if (!m_stopped.contains(n))
                {
                    send(n);
                }
            }
            for (std::size_t n = 0; n <= watcher_count; ++n)
            {
                m_views[n].drop_silent(m_now);
            }
            m_has_seen_all |= observer().peers().size() + 1 >= m_hosts;
        }
        return m_hosts - 1 - observer().peers().size();
    }

    void stop(std::size_t host) { m_stopped.insert(host); }
    bool has_seen_all() const { return m_has_seen_all; }

private:
    /// The first hosts are the watchers, the next one observes.
    fleet_view& observer() { return m_views[watcher_count]; }

    milliseconds digest_period() const
    {
        return fleet_view::min_digest_period +
               fleet_view::digest_period_per_peer *
                   static_cast<int>(m_hosts - 1);
    }

    void send(std::size_t host)
    {
        const bool is_full = m_now >= m_digest_at[host];
        const bool is_beacon =
            m_now.time_since_epoch() % fleet_view::beacon_period == seconds(0);
        if (!is_full && !is_beacon)
        {
            return;
        }
        fleet::wire::Digest it;
        it.sender = "host-" + std::to_string(host);
        it.incarnation = 1;
        it.number = ++m_numbers[host];
        it.is_update = !is_full;
        it.watches_store = host < watcher_count;
        if (it.watches_store)
        {
            it.silent_hosts = m_views[host].silent_reporters(m_now);
        }
        if (is_full)
        {
            m_digest_at[host] = m_now + digest_period();
        }
        for (std::size_t to = 0; to <= watcher_count; ++to)
        {
            const bool is_sent = to != host && (is_full || it.watches_store ||
                                                to < watcher_count);
            if (is_sent && !m_simulation.happens(loss))
            {
                m_views[to].on_digest(it, address_of(host), m_now);
            }
        }
    }

    fakes::simulation m_simulation;
    std::size_t m_hosts;
    time_point m_now = start;
    std::vector<std::int64_t> m_numbers;
    std::vector<time_point> m_digest_at;
    std::vector<fleet_view> m_views;
    std::set<std::size_t> m_stopped;
    bool m_has_seen_all = false;
};

class membership_runs : public testing::TestWithParam<std::size_t>
{
};

// Guards against a view of a large fleet in which hosts come and go all the
// time, as their digests come less often than silent hosts are dropped.
TEST_P(membership_runs, lose_nobody_on_a_calm_day)
{
    for (std::uint64_t seed = 0; seed < 3; ++seed)
    {
        membership_run run(seed, GetParam());
        run.run_until(start + seconds(20));
        ASSERT_TRUE(run.has_seen_all());
        for (int n = 0; n < 20; ++n)
        {
            EXPECT_EQ(run.run_until(start + seconds(20) + n * step * 10), 0U);
        }
    }
}

TEST_P(membership_runs, notice_a_lost_host_in_a_time_that_is_the_same_for_all)
{
    for (std::uint64_t seed = 0; seed < 3; ++seed)
    {
        membership_run run(seed, GetParam());
        run.run_until(start + seconds(20));
        run.stop(GetParam() - 1);
        const milliseconds limit =
            fleet_view::silence_limit + 3 * fleet_view::beacon_period;
        EXPECT_EQ(run.run_until(start + seconds(20) + limit), 1U) << seed;
    }
}

// Watchers are hosts like the others.
TEST_P(membership_runs, notice_lost_watchers)
{
    membership_run run(1, GetParam());
    run.run_until(start + seconds(20));
    run.stop(0);
    run.stop(1);
    const milliseconds limit = fleet_view::silence_limit + step;
    EXPECT_EQ(run.run_until(start + seconds(20) + limit), 2U);
}

// Guards against a host that is lost for all because one watcher is cut off
// from it.
TEST(membership, needs_all_watchers_in_contact_to_call_a_host_silent)
{
    fleet_view view;
    const auto hear = [&view](const std::string& name, std::size_t host,
                              std::int64_t number,
                              std::vector<std::string> silent, time_point now)
    {
        fleet::wire::Digest it;
        it.sender = name;
        it.incarnation = 1;
        it.number = number;
        it.watches_store = name != "host";
        it.silent_hosts = std::move(silent);
        view.on_digest(it, address_of(host), now);
    };
    hear("host", 1, 1, {}, start);
    const time_point later =
        start + fleet_view::silence_limit + milliseconds(1);
    // Enough hosts that a digest comes less often than this.
    for (std::size_t n = 0; n < 100; ++n)
    {
        hear("other-" + std::to_string(n), 10 + n, 1, {}, start);
    }
    hear("watcher-1", 2, 1, {"host"}, later);
    hear("watcher-2", 3, 1, {}, later);
    view.drop_silent(later);
    EXPECT_TRUE(view.peers().contains("host"));
    hear("watcher-2", 3, 2, {"host"}, later);
    view.drop_silent(later);
    EXPECT_FALSE(view.peers().contains("host"));
}

INSTANTIATE_TEST_SUITE_P(fleet_view, membership_runs,
                         testing::Values(9, 74, 195, 420));

} // namespace
} // namespace cicadahub::entry
