#include "core/refusal.hpp"
#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <sstream>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

using fakes::link_state;

/// Time after a cut from which the hosts that are cut off must serve.
constexpr milliseconds contact_time{3'000};
constexpr milliseconds warm_up{500};
constexpr milliseconds measured_time{3'000};
constexpr milliseconds request_gap{20};
constexpr std::size_t daemons_per_data_centre = 3;

struct cut_case
{
    const char* name;
    link_state state;
    /// The first hosts are cut off, this many.
    std::size_t hosts;
};

void PrintTo(const cut_case& it, std::ostream* out)
{
    *out << it.name;
}

struct sent_request
{
    std::string id;
    time_point at;
    answer received;
    bool must_run_once = false;
};

using request_list = std::vector<sent_request>;

/// Sends requests of all kinds to one host, one after the other, until
/// `is_over`.
request_list send_requests(const platform_fleet& fleet, std::size_t host,
                           const std::string& caller,
                           const std::atomic<bool>& is_over)
{
    request_list sent;
    for (std::size_t n = 0; !is_over; ++n)
    {
        std::this_thread::sleep_for(request_gap);
        sent_request it;
        it.id = caller + "-" + std::to_string(n);
        it.at = monotonic_clock::now();
        switch (n % 4)
        {
        case 0:
            it.received = fleet.stream(host, it.id, "m1");
            break;
        case 1:
            it.must_run_once = true;
            it.received =
                fleet.stream(host, it.id, "m2", "key-of-trust", "/once/x");
            break;
        case 2:
            it.received = fleet.plain(host, it.id, http::verb::get, "/read/1");
            break;
        default:
            it.must_run_once = true;
            it.received = fleet.plain(host, it.id, http::verb::post, "/post/1");
            break;
        }
        sent.push_back(std::move(it));
    }
    return sent;
}

struct served_share
{
    std::size_t sent = 0;
    std::size_t served = 0;
    /// Number of failures by status and refusal.
    std::map<std::string, std::size_t> failures;

    void add(const request_list& from, time_point begin, time_point end)
    {
        for (const sent_request& it : from)
        {
            if (it.at >= begin && it.at < end)
            {
                ++sent;
                if (it.received.status == 200)
                {
                    ++served;
                    continue;
                }
                ++failures[std::to_string(it.received.status) + " " +
                           it.received.refusal()];
            }
        }
    }

    std::string describe() const
    {
        std::string text =
            std::to_string(served) + " of " + std::to_string(sent);
        for (const auto& [name, n] : failures)
        {
            text += ", " + name + " " + std::to_string(n);
        }
        return text;
    }

    double share() const
    {
        return sent == 0
                   ? 0
                   : static_cast<double>(served) / static_cast<double>(sent);
    }
};

void check_promises(const platform_fleet& fleet, const request_list& sent)
{
    const auto runs = fleet.count_runs();
    for (const sent_request& it : sent)
    {
        const auto at = runs.find(it.id);
        const std::int64_t n = at == runs.end() ? 0 : at->second;
        EXPECT_FALSE(n > 0 && promises_not_run(it.received.status))
            << it.id << " ran, status " << it.received.status;
        EXPECT_FALSE(n > 1 && it.must_run_once) << it.id << " ran " << n;
    }
}

bool has_logged(const platform_fleet& fleet, std::size_t host,
                const std::string& text)
{
    return fleet.daemons[host].program->output().find(text) !=
           std::string::npos;
}

class hosts_without_links : public testing::TestWithParam<cut_case>
{
};

// Guards against hosts that refuse or fail their callers' requests because they
// themselves reach no server, while other hosts reach all.
TEST_P(hosts_without_links, serve_as_well_as_the_others)
{
    const cut_case& it = GetParam();
    platform_fleet fleet(static_cast<int>(it.hosts + daemons_per_data_centre),
                         true);
    std::atomic<bool> is_over = false;
    const std::size_t hosts = fleet.daemons.size();
    // A caller of each host begins before the cut, another one when the host
    // must serve again: the first may still wait for its answer.
    std::vector<request_list> sent(2 * hosts);
    std::vector<std::thread> callers;
    callers.reserve(sent.size());
    const auto add_callers = [&]
    {
        for (std::size_t n = 0; n < hosts; ++n)
        {
            const std::size_t at = callers.size();
            callers.emplace_back(
                [&, at]
                {
                    sent[at] = send_requests(fleet, at % hosts,
                                             "c" + std::to_string(at), is_over);
                });
        }
    };
    add_callers();
    std::this_thread::sleep_for(warm_up);
    for (std::size_t n = 0; n < it.hosts; ++n)
    {
        fleet.daemons[n].links->set_state(it.state);
    }
    const time_point begin = monotonic_clock::now() + contact_time;
    const time_point end = begin + measured_time;
    std::this_thread::sleep_until(begin);
    add_callers();
    std::this_thread::sleep_until(end);
    for (std::size_t n = 0; n < it.hosts; ++n)
    {
        fleet.daemons[n].links->set_state(link_state::open);
    }
    is_over = true;
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    served_share cut_off;
    served_share others;
    served_share late_cut_off;
    served_share late_others;
    for (std::size_t n = 0; n < sent.size(); ++n)
    {
        const bool is_cut_off = n % hosts < it.hosts;
        (is_cut_off ? cut_off : others).add(sent[n], begin, end);
        if (n >= hosts)
        {
            (is_cut_off ? late_cut_off : late_others).add(sent[n], begin, end);
        }
        check_promises(fleet, sent[n]);
    }
    EXPECT_GT(others.share(), 0.9) << others.describe();
    EXPECT_GE(cut_off.share(), others.share() * 2 / 3)
        << cut_off.describe() << "; the others " << others.describe();
    // As many requests must pass, not only as large a share of fewer.
    EXPECT_GE(late_cut_off.served / it.hosts,
              late_others.served / daemons_per_data_centre / 2);
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, hosts_without_links,
    testing::Values(
        cut_case{"one_silent", link_state::silent, 1},
        cut_case{"one_reset", link_state::reset, 1},
        cut_case{"one_refusing", link_state::refusing, 1},
        cut_case{"data_centre_silent", link_state::silent, 3},
        cut_case{"data_centre_reset", link_state::reset, 3},
        cut_case{"one_accepting_silent", link_state::accepting_silent, 1},
        cut_case{"data_centre_accepting_silent", link_state::accepting_silent,
                 3},
        cut_case{"one_accepting_reset", link_state::accepting_reset, 1},
        cut_case{"data_centre_accepting_reset", link_state::accepting_reset, 3},
        cut_case{"one_resetting_new", link_state::resetting_new, 1}),
    [](const auto& it) { return std::string(it.param.name); });

struct reset_case
{
    const char* name;
    /// Time for which new connections are refused.
    milliseconds refused_for;
};

void PrintTo(const reset_case& it, std::ostream* out)
{
    *out << it.name;
}

class reset_links : public testing::TestWithParam<reset_case>
{
};

// Guards against a request that callers send often and that every host refuses,
// because hosts whose links were reset took it for the cause of crashes.
TEST_P(reset_links, cause_no_suspicion)
{
    platform_fleet fleet(4, true);
    std::atomic<bool> is_over = false;
    std::vector<std::thread> callers;
    for (std::size_t host = 0; host < daemons_per_data_centre; ++host)
    {
        callers.emplace_back(
            [&, host]
            {
                for (std::size_t n = 0; !is_over; ++n)
                {
                    fleet.stream(host,
                                 "h" + std::to_string(host) + "-" +
                                     std::to_string(n),
                                 "m1");
                }
            });
    }
    for (int round = 0; round < 3; ++round)
    {
        for (std::size_t host = 0; host < daemons_per_data_centre; ++host)
        {
            host_links& links = *fleet.daemons[host].links;
            links.set_state(link_state::reset);
            std::this_thread::sleep_for(GetParam().refused_for);
            links.set_state(link_state::open);
            std::this_thread::sleep_for(request_gap);
        }
        std::this_thread::sleep_for(warm_up);
    }
    is_over = true;
    for (std::thread& it : callers)
    {
        it.join();
    }
    for (std::size_t host = 0; host < fleet.daemons.size(); ++host)
    {
        EXPECT_EQ(
            fleet.stream(host, "last-" + std::to_string(host), "m1").status,
            200U);
        EXPECT_FALSE(has_logged(fleet, host, "suspect-request"));
    }
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, reset_links,
    testing::Values(reset_case{"once", milliseconds(0)},
                    reset_case{"shortly", milliseconds(20)},
                    reset_case{"for_long", milliseconds(600)}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against models that nobody loads because the holder of the placement
// lease keeps it while it reaches no server.
TEST(platform_path, orders_come_from_a_host_that_reaches_the_servers)
{
    platform_fleet fleet(3, true);
    const auto is_holder = [&](std::size_t host)
    {
        return has_logged(fleet, host, "lease_won shard=placement");
    };
    std::size_t holder = 0;
    ASSERT_TRUE(eventually(
        [&]
        {
            holder = 0;
            while (holder < fleet.daemons.size() && !is_holder(holder))
            {
                ++holder;
            }
            return holder < fleet.daemons.size();
        }));
    fleet.daemons[holder].links->set_state(link_state::silent);
    // Nobody else notices, so that only the holder's own probes can tell.
    const std::size_t other = (holder + 1) % fleet.daemons.size();
    unsigned status = 0;
    EXPECT_TRUE(eventually(
        [&]
        {
            status = fleet.stream(other, "wanted", "m3").status;
            return status == 200;
        },
        milliseconds(8'000)))
        << status;
}

/// Links of a host to the first engine and the first server of the plain
/// service.
constexpr std::size_t engine_link = 0;
constexpr std::size_t service_link = 2;

struct silent_case
{
    const char* name;
    std::size_t link;
    bool is_stream;
};

void PrintTo(const silent_case& it, std::ostream* out)
{
    *out << it.name;
}

class silent_servers : public testing::TestWithParam<silent_case>
{
};

// Guards against requests that are given up or run again, and against servers
// that are suspected, because a sound server says nothing for a second.
TEST_P(silent_servers, are_waited_for_if_they_go_on_after_a_second)
{
    constexpr milliseconds silence{1'300};
    platform_fleet fleet(2, true);
    host_links& links = *fleet.daemons[0].links;
    const auto send = [&](const std::string& id)
    {
        return GetParam().is_stream
                   ? fleet.stream(0, id, "m1", "key-of-trust", "/once/x")
                   : fleet.plain(0, id, http::verb::post, "/post/1");
    };
    EXPECT_EQ(send("warm").status, 200U);
    links.set_state(GetParam().link, link_state::silent);
    const time_point began = monotonic_clock::now();
    auto answered = std::async(std::launch::async, [&] { return send("r"); });
    std::this_thread::sleep_until(began + silence);
    links.set_state(GetParam().link, link_state::open);
    EXPECT_EQ(answered.get().status, 200U);
    EXPECT_EQ(fleet.count_runs()["r"], 1);
    EXPECT_FALSE(has_logged(fleet, 0, "host_cut_off"));
    EXPECT_FALSE(has_logged(fleet, 1, "request_suspected"));
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, silent_servers,
    testing::Values(silent_case{"engine", engine_link, true},
                    silent_case{"service", service_link, false}),
    [](const auto& it) { return std::string(it.param.name); });

// A server that is gone without a word must not hold a request that another one
// can serve until its deadline.
TEST(platform_path, a_request_at_a_dead_server_is_repeated_in_time)
{
    platform_fleet fleet(1, true);
    for (int n = 0; n < 2; ++n)
    {
        EXPECT_EQ(fleet
                      .plain(0, "warm-" + std::to_string(n), http::verb::get,
                             "/read/1")
                      .status,
                  200U);
    }
    fleet.daemons[0].links->set_state(service_link, link_state::silent);
    const time_point began = monotonic_clock::now();
    EXPECT_EQ(fleet.plain(0, "r", http::verb::get, "/read/1").status, 200U);
    EXPECT_LT(monotonic_clock::now() - began, milliseconds(2'500));
}

} // namespace
} // namespace cicadahub::system_tests
