#include "decision/routing/server_choice.hpp"
#include "decision/routing/server_occupancy.hpp"
#include "decision/routing/server_pace.hpp"
#include "decision/sharing/server_room.hpp"
#include "simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <iomanip>
#include <iostream>
#include <memory>

namespace cicadahub::routing
{
namespace
{

/// A service, the hosts in front of it and the traffic.
struct choice_case
{
    const char* name;
    bool is_engine;
    int hosts;
    int servers;
    std::uint32_t slots;
    std::uint32_t queue;
    /// Time that a request takes at a server of usual pace.
    milliseconds shortest;
    milliseconds longest;
    double requests_per_second;
    double max_rejected;
    double max_wait_ms;
    /// False if the hosts do not hear of one another.
    bool has_reports;
};

/// Requests at the busiest server against the mean. One server in four gets
/// fewer than the others, since it is half as fast.
constexpr double max_busiest = 1.4;

void PrintTo(const choice_case& it, std::ostream* out)
{
    *out << it.name;
}

struct choice_outcome
{
    int arrivals = 0;
    int rejected = 0;
    std::vector<double> waits_ms;
    std::vector<int> arrivals_by_server;

    double rejected_share() const
    {
        return static_cast<double>(rejected) / arrivals;
    }
    double wait(double part)
    {
        std::sort(waits_ms.begin(), waits_ms.end());
        return waits_ms[static_cast<std::size_t>(
            part * static_cast<double>(waits_ms.size() - 1))];
    }
    double busiest() const
    {
        const auto most = *std::max_element(arrivals_by_server.begin(),
                                            arrivals_by_server.end());
        return static_cast<double>(most) *
               static_cast<double>(arrivals_by_server.size()) / arrivals;
    }
};

/// Runs the choices of all hosts in virtual time: by the hosts' reports to one
/// another and back-offs, or by what the servers state.
class choice_run
{
public:
    choice_run(const choice_case& given, bool is_by_statements)
        : m_case(given), m_is_by_statements(is_by_statements)
    {
        for (int n = 0; n < given.servers; ++n)
        {
            m_servers.push_back({server_id("s" + std::to_string(n))});
            // One in four is half as fast as the rest.
            m_servers.back().own_pace = n % 4 == 0 ? 2 : 1;
        }
        m_outcome.arrivals_by_server.resize(m_servers.size());
        for (int n = 0; n < given.hosts; ++n)
        {
            m_hosts.push_back({std::vector<known_server>(m_servers.size())});
        }
    }

    choice_outcome run()
    {
        constexpr milliseconds warm_up{10'000};
        constexpr milliseconds length{30'000};
        vary_pace();
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            if (m_case.has_reports)
            {
                m_run.after(m_run.pick_ms(0, digest_period.count()),
                            [this, n] { tell(n); });
                m_run.after(m_run.pick_ms(0, report_interval.count()),
                            [this, n] { take_in_reports(n); });
            }
        }
        arrive();
        m_run.run_until(time_point(warm_up));
        m_outcome = {};
        m_outcome.arrivals_by_server.resize(m_servers.size());
        m_run.run_until(time_point(warm_up + length));
        return m_outcome;
    }

private:
    static constexpr milliseconds digest_period{1'160};
    static constexpr milliseconds report_interval{250};
    static constexpr microseconds link{500};

    struct request
    {
        std::size_t host = 0;
        time_point arrived{};
        time_point sent{};
        milliseconds work{0};
        bool is_urgent = false;
        bool is_waiting = false;
    };
    using request_pointer = std::shared_ptr<request>;

    struct server
    {
        server_id id;
        double own_pace = 1;
        double pace = 1;
        std::uint32_t running = 0;
        std::deque<request_pointer> queue{};
    };

    struct known_server
    {
        std::uint32_t running = 0;
        std::uint32_t running_elsewhere = 0;
        /// As told to the others.
        std::uint32_t told = 0;
        sharing::server_room room{};
        server_occupancy occupancy{};
        server_pace pace{};
    };

    struct host
    {
        std::vector<known_server> servers;
        service_pace usual{};
        std::vector<request_pointer> waiting{};
    };

    void vary_pace()
    {
        for (server& it : m_servers)
        {
            it.pace =
                it.own_pace * static_cast<double>(m_run.pick(70, 140)) / 100;
        }
        m_run.after(milliseconds(300), [this] { vary_pace(); });
    }

    /// Tells the others, by a digest, what runs from this host.
    void tell(std::size_t at)
    {
        for (known_server& it : m_hosts[at].servers)
        {
            it.told = it.running;
        }
        m_run.after(digest_period, [this, at] { tell(at); });
    }

    void take_in_reports(std::size_t at)
    {
        for (std::size_t n = 0; n < m_servers.size(); ++n)
        {
            std::uint32_t elsewhere = 0;
            for (std::size_t other = 0; other < m_hosts.size(); ++other)
            {
                elsewhere += other == at ? 0 : m_hosts[other].servers[n].told;
            }
            known_server& it = m_hosts[at].servers[n];
            it.running_elsewhere = elsewhere;
            it.occupancy.on_report(elsewhere, m_run.now() - digest_period / 2,
                                   m_run.now());
        }
        m_run.after(report_interval, [this, at] { take_in_reports(at); });
    }

    void arrive()
    {
        auto it = std::make_shared<request>();
        it->host = static_cast<std::size_t>(m_run.pick(0, m_case.hosts - 1));
        it->arrived = m_run.now();
        it->work =
            m_run.pick_ms(m_case.shortest.count(), m_case.longest.count());
        it->is_urgent = m_run.happens(0.5);
        choose(it);
        const double uniform =
            static_cast<double>(m_run.pick(1, 1'000'000)) / 1'000'000;
        m_run.after(microseconds(std::llround(
                        -std::log(uniform) / m_case.requests_per_second * 1e6)),
                    [this] { arrive(); });
    }

    std::optional<std::size_t> pick(const request_pointer& it,
                                    milliseconds& recheck)
    {
        host& at = m_hosts[it->host];
        std::vector<choice_candidate> from;
        std::vector<std::size_t> indexes;
        for (std::size_t n = 0; n < m_servers.size(); ++n)
        {
            known_server& known = at.servers[n];
            const milliseconds full_for =
                m_is_by_statements ? known.occupancy.time_to_try(m_run.now())
                                   : known.room.time_to_try(m_run.now());
            if (full_for.count() > 0)
            {
                recheck = std::min(recheck, full_for);
                continue;
            }
            from.push_back({&m_servers[n].id,
                            known.running + known.running_elsewhere,
                            m_case.slots,
                            false,
                            true,
                            {}});
            indexes.push_back(n);
            if (m_is_by_statements)
            {
                from.back().expected = expect(at, known);
                from.back().running = static_cast<std::uint32_t>(
                    std::lround(from.back().expected->running));
            }
        }
        const milliseconds to_target =
            it->is_urgent ? milliseconds(400) : milliseconds(5'000);
        const auto choice =
            m_case.is_engine
                ? choose_engine(from, {}, 500, m_run.random()(), to_target)
                : choose_plain(from, m_run.random()(), to_target);
        if (!choice && m_is_by_statements && !from.empty())
        {
            recheck = std::min(recheck, time_to_room(from));
        }
        return choice ? std::optional(indexes[*choice]) : std::nullopt;
    }

    server_expectation expect(const host& at, const known_server& known) const
    {
        return expectation_of(known.running, known.occupancy, known.pace,
                              at.usual, m_run.now());
    }

    void choose(const request_pointer& it)
    {
        it->is_waiting = false;
        milliseconds recheck{250};
        const auto chosen = pick(it, recheck);
        host& at = m_hosts[it->host];
        if (!chosen)
        {
            it->is_waiting = true;
            at.waiting.push_back(it);
            m_run.after(recheck,
                        [this, it]
                        {
                            if (it->is_waiting)
                            {
                                std::erase(m_hosts[it->host].waiting, it);
                                choose(it);
                            }
                        });
            return;
        }
        const std::size_t n = *chosen;
        ++at.servers[n].running;
        at.servers[n].room.on_sent(m_run.now());
        it->sent = m_run.now();
        m_run.after(link, [this, it, n] { reach(it, n); });
    }

    void reach(const request_pointer& it, std::size_t n)
    {
        server& to = m_servers[n];
        ++m_outcome.arrivals;
        ++m_outcome.arrivals_by_server[n];
        if (to.running < m_case.slots)
        {
            start(it, n);
        }
        else if (to.queue.size() < m_case.queue)
        {
            to.queue.push_back(it);
        }
        else
        {
            ++m_outcome.rejected;
            answer(it, n, true);
        }
    }

    void start(const request_pointer& it, std::size_t n)
    {
        server& at = m_servers[n];
        ++at.running;
        m_outcome.waits_ms.push_back(
            static_cast<double>((m_run.now() - it->arrived).count()) / 1'000);
        const double took = static_cast<double>(it->work.count()) * at.pace;
        m_run.after(microseconds(std::llround(took * 1'000)),
                    [this, it, n] { end(it, n); });
    }

    void end(const request_pointer& it, std::size_t n)
    {
        server& at = m_servers[n];
        answer(it, n, false);
        --at.running;
        if (!at.queue.empty())
        {
            const auto next = at.queue.front();
            at.queue.pop_front();
            start(next, n);
        }
    }

    void answer(const request_pointer& it, std::size_t n, bool is_rejected)
    {
        const server& at = m_servers[n];
        const load_statement stated{at.running,
                                    static_cast<std::uint32_t>(at.queue.size()),
                                    m_case.slots};
        const auto percent =
            static_cast<std::uint32_t>(std::lround(at.pace * 100));
        m_run.after(link, [this, it, n, stated, percent, is_rejected]
                    { take_in(it, n, stated, percent, is_rejected); });
    }

    void take_in(const request_pointer& it, std::size_t n,
                 const load_statement& stated, std::uint32_t percent,
                 bool is_rejected)
    {
        host& at = m_hosts[it->host];
        known_server& known = at.servers[n];
        const time_point now = m_run.now();
        known.occupancy.on_statement(stated, known.running, now);
        known.pace.on_statement(percent, now);
        --known.running;
        if (is_rejected)
        {
            const double draw = static_cast<double>(m_run.pick(0, 999)) / 1'000;
            known.room.on_rejected(it->sent, now, draw);
            known.occupancy.on_rejected(it->sent, expect(at, known).to_end,
                                        draw, now);
        }
        else
        {
            known.room.on_accepted(it->sent);
            known.room.on_ended();
            known.occupancy.on_ended();
            const auto took =
                std::chrono::duration_cast<milliseconds>(now - it->sent);
            const attempt_times times{m_case.is_engine ? took / 10 : took,
                                      took};
            known.pace.on_outcome(times, at.usual.usual(), now);
            at.usual.on_outcome(times, known.pace.stated(now));
        }
        std::vector<request_pointer> waiting;
        std::swap(waiting, at.waiting);
        for (const request_pointer& other : waiting)
        {
            choose(other);
        }
        if (is_rejected)
        {
            choose(it);
        }
    }

    choice_case m_case;
    bool m_is_by_statements;
    fakes::simulation m_run{1};
    std::vector<server> m_servers;
    std::vector<host> m_hosts;
    choice_outcome m_outcome;
};

class choice_runs : public testing::TestWithParam<choice_case>
{
};

// Guards against requests that wait at hosts while servers are idle and then
// arrive in a burst, as they do if each host believes in reports that are older
// than the work that they tell of.
TEST_P(choice_runs, reject_little_and_begin_at_once)
{
    choice_outcome before = choice_run(GetParam(), false).run();
    choice_outcome after = choice_run(GetParam(), true).run();
    for (auto* it : {&before, &after})
    {
        std::cout << (it == &before ? "reports   " : "statements") << std::fixed
                  << std::setprecision(4) << " arrivals " << it->arrivals
                  << " rejected " << it->rejected_share()
                  << std::setprecision(1) << " wait p50 " << it->wait(0.5)
                  << " p99 " << it->wait(0.99) << " ms, busiest "
                  << std::setprecision(2) << it->busiest() << '\n';
    }
    EXPECT_LE(after.rejected_share(), GetParam().max_rejected);
    EXPECT_LE(after.rejected_share(), before.rejected_share());
    EXPECT_LE(after.wait(0.99), GetParam().max_wait_ms);
    EXPECT_LE(after.wait(0.99), before.wait(0.99));
    EXPECT_LE(after.busiest(), max_busiest);
}

constexpr choice_case plain{
    "plain",          false, 91,   4,  6,   3, milliseconds(15),
    milliseconds(30), 220,   0.01, 10, true};
constexpr choice_case engine{
    "engine", true, 91, 24,  24, 4, milliseconds(300), milliseconds(3'000),
    150,      0.01, 10, true};

choice_case with(choice_case it, const char* name, double requests_per_second,
                 double max_rejected, double max_wait_ms)
{
    it.name = name;
    it.requests_per_second = requests_per_second;
    it.max_rejected = max_rejected;
    it.max_wait_ms = max_wait_ms;
    return it;
}

choice_case without_reports(choice_case it, const char* name)
{
    it.name = name;
    it.has_reports = false;
    return it;
}

choice_case with_few_servers(choice_case it)
{
    it.name = "few_engines";
    it.servers = 4;
    it.requests_per_second = 35;
    it.max_wait_ms = 400;
    return it;
}

// The servers take some 890 plain requests a second and 290 at the engines. At
// the higher rates a random split alone fills some server now and then.
INSTANTIATE_TEST_SUITE_P(
    server_choice, choice_runs,
    testing::Values(plain, with(plain, "busy_plain", 500, 0.02, 30),
                    without_reports(plain, "plain_without_reports"), engine,
                    with(engine, "busy_engines", 230, 0.03, 600),
                    with_few_servers(engine)),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::routing
