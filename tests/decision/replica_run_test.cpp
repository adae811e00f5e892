#include "decision/replicas/replica_planner.hpp"
#include "fake_engine.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace cicadahub::replicas
{
namespace
{

struct replica_faults
{
    /// Share of the orders whose answer is lost.
    double lost_answers = 0;
    /// Share of the orders that get no answer and arrive 2 to 12 s later.
    double late_orders = 0;
    /// Mean times between changes of the lease holder and between crashes; 0
    /// for none.
    milliseconds holder_change{0};
    milliseconds crash{0};
};

/// Simulates successive lease holders and the servers that carry out their
/// orders, in virtual time. The servers check that no order that they carry out
/// exceeds their memory.
class replica_run
{
public:
    replica_run(std::uint64_t seed, replica_faults faults)
        : simulation(seed), m_faults(faults)
    {
        m_engine.megabytes = 100;
        m_engine.adapter_slots = 3;
        m_engine.slots = 8;
        for (int n = 0; n < 20; ++n)
        {
            serving::model_spec spec;
            spec.megabytes = 30;
            spec.load_from_store = milliseconds(6'000);
            spec.load_from_disk = milliseconds(800);
            spec.load_from_memory = milliseconds(800);
            spec.adapter_megabytes = 0.5;
            m_engine.models[model_id("m" + std::to_string(n))] = spec;
        }
        for (int n = 0; n < 6; ++n)
        {
            const server_id id("s" + std::to_string(n));
            m_engines[id] = std::make_unique<fakes::fake_engine>(
                simulation, id, fakes::fake_engine::size{100, 30, 3},
                [this](const std::string& what)
                {
                    ADD_FAILURE()
                        << "overcommitted: " << what << " at "
                        << simulation.now().time_since_epoch().count();
                },
                [this, id] { update_list(id); });
        }
        take_over();
        step();
        add_request();
        repeat(m_faults.holder_change,
               [this]
               {
                   m_states.clear();
                   ++m_holder;
                   simulation.after(simulation.pick_ms(0, 3'000),
                                    [this] { take_over(); });
               });
        repeat(m_faults.crash,
               [this]
               {
                   const auto n = simulation.pick(0, 5);
                   m_engines.at(server_id("s" + std::to_string(n)))->crash();
               });
    }

    std::uint64_t loads() const
    {
        std::uint64_t n = 0;
        for (const auto& [id, it] : m_engines)
        {
            n += it->loads();
        }
        return n;
    }

    fakes::simulation simulation;
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t orders = 0;

private:
    struct waiting_request
    {
        copy_name copy;
        time_point deadline;
    };

    void repeat(milliseconds mean, const std::function<void()>& event)
    {
        if (mean.count() > 0)
        {
            simulation.after(
                simulation.pick_ms(mean.count() / 2, mean.count() * 2),
                [this, mean, event]
                {
                    event();
                    repeat(mean, event);
                });
        }
    }

    void take_over()
    {
        m_states.clear();
        for (const auto& [id, it] : m_engines)
        {
            m_states.emplace(id, server_state(it->entry(), simulation.now()));
        }
    }

    /// Shows a change in the platform's list after some delay.
    void update_list(const server_id& id)
    {
        const auto entry = m_engines.at(id)->entry();
        simulation.after(
            simulation.pick_ms(5, 80),
            [this, entry]
            {
                const auto it = m_states.find(entry.id);
                if (it == m_states.end())
                {
                    return;
                }
                if (it->second.entry().incarnation != entry.incarnation)
                {
                    m_states.erase(it);
                    m_states.emplace(entry.id,
                                     server_state(entry, simulation.now()));
                    return;
                }
                it->second.on_entry(entry, simulation.now());
            });
    }

    void add_request()
    {
        ++requests;
        const auto n = simulation.happens(0.5) ? simulation.pick(0, 3)
                                               : simulation.pick(0, 19);
        copy_name copy{model_id("m" + std::to_string(n)), std::nullopt};
        if (simulation.happens(0.3))
        {
            copy.adapter =
                adapter_id("a" + std::to_string(simulation.pick(0, 5)));
        }
        m_waiting.push_back({copy, simulation.now() + seconds(10)});
        simulation.after(simulation.pick_ms(20, 200),
                         [this] { add_request(); });
    }

    void serve_waiting()
    {
        std::erase_if(m_waiting,
                      [&](const waiting_request& it)
                      {
                          const bool is_loaded = std::any_of(
                              m_states.begin(), m_states.end(),
                              [&](const auto& state)
                              { return state.second.holds(it.copy); });
                          served += is_loaded ? 1 : 0;
                          return is_loaded || it.deadline <= simulation.now();
                      });
    }

    void step()
    {
        serve_waiting();
        planner_view view{m_engine, m_states, {}, {}, {}, {}, {}};
        std::map<copy_name, pending_demand> pending_demands;
        for (const waiting_request& it : m_waiting)
        {
            pending_demand& sum = pending_demands[it.copy];
            sum.copy = it.copy;
            sum.slack = std::chrono::duration_cast<milliseconds>(
                it.deadline - simulation.now());
            ++sum.waiting;
        }
        for (const auto& [copy, it] : pending_demands)
        {
            view.pending_demands.push_back(it);
            view.use[copy.model].requests_per_second += it.waiting;
        }
        const replica_planner planner{planner_limits{}};
        for (const planned_order& it : planner.plan(view, simulation.now()))
        {
            send(it.what);
        }
        ask_reports();
        simulation.after(simulation.pick_ms(20, 100), [this] { step(); });
    }

    void send(const order& it)
    {
        ++orders;
        const bool is_late = simulation.happens(m_faults.late_orders);
        const bool is_lost =
            is_late || simulation.happens(m_faults.lost_answers);
        const milliseconds delay = is_late ? simulation.pick_ms(2'000, 12'000)
                                           : simulation.pick_ms(1, 5);
        const int holder = m_holder;
        simulation.after(
            delay,
            [this, it, is_lost, holder]
            {
                const auto answer = m_engines.at(it.server)->receive(it);
                if (!is_lost)
                {
                    simulation.after(simulation.pick_ms(1, 5),
                                     [this, it, answer, holder]
                                     { take_answer(it, answer, holder); });
                }
            });
        if (is_lost)
        {
            simulation.after(seconds(1),
                             [this, it, holder] {
                                 take_answer(it, order_answer::unknown, holder);
                             });
        }
    }

    void take_answer(const order& it, order_answer answer, int holder)
    {
        const auto state = m_states.find(it.server);
        if (holder == m_holder && state != m_states.end() &&
            state->second.entry().incarnation == it.incarnation)
        {
            state->second.on_answer(it, answer, simulation.now());
        }
    }

    void ask_reports()
    {
        for (auto& [id, state] : m_states)
        {
            const bool is_due = state.pending() &&
                                state.pending()->is_accepted &&
                                simulation.now() >= state.pending()->due_at;
            if ((state.is_confirmed() && !is_due) || state.awaits_answer() ||
                !simulation.happens(0.5))
            {
                continue;
            }
            const auto report = m_engines.at(id)->report();
            const auto incarnation = m_engines.at(id)->entry().incarnation;
            const time_point requested_at = simulation.now();
            simulation.after(simulation.pick_ms(1, 8),
                             [this, id = id, report, requested_at, incarnation]
                             {
                                 const auto it = m_states.find(id);
                                 if (it != m_states.end() &&
                                     it->second.entry().incarnation ==
                                         incarnation)
                                 {
                                     it->second.on_report(report, requested_at,
                                                          simulation.now());
                                 }
                             });
        }
    }

    replica_faults m_faults;
    serving::engine_spec m_engine;
    std::map<server_id, std::unique_ptr<fakes::fake_engine>> m_engines;
    std::map<server_id, server_state> m_states;
    std::vector<waiting_request> m_waiting;
    int m_holder = 0;
};

struct run_case
{
    const char* name;
    std::uint64_t seed;
    replica_faults faults;

    friend void PrintTo(const run_case& it, std::ostream* out)
    {
        *out << it.name << " seed " << it.seed;
    }
};

class replica_runs : public testing::TestWithParam<run_case>
{
};

TEST_P(replica_runs, loads_never_exceed_a_servers_memory)
{
    replica_run run(GetParam().seed, GetParam().faults);
    run.simulation.run_until(time_point(seconds(600)));
    EXPECT_GT(run.requests, 4'000U);
    EXPECT_GT(run.served, run.requests / 4);
    EXPECT_GT(run.loads(), 100U);
    std::cout << "steps " << run.simulation.steps() << " asked " << run.requests
              << " served " << run.served << " orders " << run.orders
              << " loads " << run.loads() << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    faults, replica_runs,
    testing::Values(
        run_case{"calm", 1, {}},
        run_case{"lost_answers", 2, {0.2, 0, milliseconds(0), milliseconds(0)}},
        run_case{"late_orders", 3, {0, 0.3, milliseconds(0), milliseconds(0)}},
        run_case{
            "holders_change", 4, {0, 0, milliseconds(4'000), milliseconds(0)}},
        run_case{
            "servers_crash", 5, {0, 0, milliseconds(0), milliseconds(5'000)}},
        run_case{"everything",
                 6,
                 {0.1, 0.2, milliseconds(5'000), milliseconds(9'000)}}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace cicadahub::replicas
