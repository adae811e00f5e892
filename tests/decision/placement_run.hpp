#pragma once

#include "decision/placement/placement_machine.hpp"
#include "fake_server.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace cicadahub::placement
{

struct placement_faults
{
    /// Share of the orders and commits whose answer is lost.
    double lost_answers = 0;
    /// Share of the orders that arrive late, but within the order lifetime.
    double late_orders = 0;
    double failed_loads = 0;
    /// Mean time between changes of owner; 0 for a single owner.
    milliseconds owner_change{0};
    milliseconds server_crash{0};
    bool all_fencing = false;
    bool none_fencing = false;
};

struct placement_sizes
{
    int servers = 6;
    std::int64_t server_memory = 40;
    int models = 40;
    std::int64_t model_bytes_low = 5;
    std::int64_t model_bytes_high = 15;
    int adapters = 10;
    milliseconds between_wakes{40};
    milliseconds wake_timeout{4'000};
};

/// Simulates a sequence of owners, the persisted document and the servers.
/// Checks the invariants whenever a server begins to load.
class placement_run
{
public:
    placement_run(std::uint64_t seed, placement_sizes sizes,
                  placement_faults faults, load_limits limits = {})
        : simulation(seed), m_sizes(sizes), m_faults(faults), m_limits(limits)
    {
        for (int n = 0; n < sizes.servers; ++n)
        {
            add_server(n);
        }
        for (int n = 0; n < sizes.models; ++n)
        {
            m_items.push_back(
                {model_id("m" + std::to_string(n)),
                 byte_count(simulation.pick(sizes.model_bytes_low,
                                            sizes.model_bytes_high)),
                 std::nullopt});
        }
        for (int n = 0; n < sizes.adapters; ++n)
        {
            const item_spec& base = m_items[static_cast<std::size_t>(
                simulation.pick(0, sizes.models - 1))];
            m_items.push_back(
                {model_id(base.id.value() + ":a" + std::to_string(n)),
                 byte_count(1), base.id});
        }
        take_over();
        tick();
        report();
        if (m_faults.owner_change.count() > 0)
        {
            schedule_owner_change();
        }
        if (m_faults.server_crash.count() > 0)
        {
            schedule_crash();
        }
    }

    /// Sends a wake to the current owner.
    void send_wake(const model_id& model, milliseconds wake_timeout)
    {
        if (!m_owner)
        {
            ++without_owner;
            return;
        }
        const std::uint64_t ticket = m_next_ticket++;
        m_waiting[ticket] = {m_epoch, simulation.now() + wake_timeout,
                             simulation.now()};
        ++asked;
        perform(
            m_owner->on_wake({ticket, model, simulation.now() + wake_timeout},
                             simulation.now()));
    }

    /// Sends wakes at random times until the run ends.
    void send_random_wakes()
    {
        const auto n =
            simulation.pick(0, static_cast<std::int64_t>(m_items.size()) - 1);
        // The first five models get most of the wakes.
        send_wake(m_items[static_cast<std::size_t>(
                              simulation.happens(0.6) ? n % 5 : n)]
                      .id,
                  m_sizes.wake_timeout);
        const std::int64_t mean = m_sizes.between_wakes.count();
        simulation.after(simulation.pick_ms(1, 2 * mean),
                         [this] { send_random_wakes(); });
    }

    void stop_faults()
    {
        m_faults = {};
        for (auto& it : m_servers)
        {
            it->failure_rate = 0;
        }
    }

    /// Checks that every wake was answered by its deadline.
    void check_waits() const
    {
        for (const auto& [ticket, it] : m_waiting)
        {
            // The owner refuses an expired wake in its next tick.
            ASSERT_GE(it.deadline + milliseconds(60), simulation.now())
                << "ticket " << ticket;
        }
    }

    /// Gives every load the same duration.
    void set_load_time(std::int64_t ms)
    {
        for (const auto& it : m_servers)
        {
            it->load_ms_low = ms;
            it->load_ms_high = ms;
        }
    }

    /// Percentile of the waits of the wakes that were served, in milliseconds.
    double wait_percentile(double part) const
    {
        std::vector<double> sorted = m_waits;
        std::sort(sorted.begin(), sorted.end());
        const auto last = static_cast<double>(sorted.size() - 1);
        return sorted.at(static_cast<std::size_t>(last * part + 0.5));
    }

    std::uint64_t total_loads() const
    {
        std::uint64_t n = 0;
        for (const auto& it : m_servers)
        {
            n += it->loads();
        }
        return n;
    }

    const std::vector<item_spec>& items() const { return m_items; }
    const document& written() const { return m_written; }

    fakes::simulation simulation;
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t without_owner = 0;
    std::uint64_t takeovers = 0;
    std::size_t max_concurrent_loads = 0;

private:
    struct wait
    {
        epoch_number epoch;
        time_point deadline;
        time_point asked_at;
    };

    void add_server(int n)
    {
        server_spec spec;
        spec.id = server_id("s" + std::to_string(n));
        spec.memory = byte_count(m_sizes.server_memory);
        spec.is_fencing =
            m_faults.all_fencing || (!m_faults.none_fencing && n % 2 == 0);
        m_specs.push_back(spec);
        m_servers.push_back(std::make_unique<fakes::fake_server>(
            simulation, spec,
            [this, n](const replica& it) { check_load(n, it); }));
        m_servers.back()->failure_rate = m_faults.failed_loads;
    }

    /// Checks that a replica that begins to load is in the persisted document
    /// and fits into the server's memory.
    void check_load(int n, const replica& it)
    {
        const fakes::fake_server& server =
            *m_servers[static_cast<std::size_t>(n)];
        const bool is_decided = std::any_of(
            m_written.replicas.begin(), m_written.replicas.end(),
            [&](const replica& other)
            { return other.model == it.model && other.server == it.server; });
        ASSERT_TRUE(is_decided) << it.model << " on " << it.server;
        ASSERT_LE(server.used(), server.spec().memory.value()) << it.server;
        std::size_t loading = 0;
        for (const auto& other : m_servers)
        {
            loading += other->loading_count();
        }
        max_concurrent_loads = std::max(max_concurrent_loads, loading);
    }

    void take_over()
    {
        ++takeovers;
        m_epoch = epoch_number(m_epoch.value() + 1);
        m_owner =
            std::make_unique<placement_machine>(m_limits, placement_timing{});
        m_owner->on_items(m_items);
        m_owner->on_servers(m_specs, simulation.now());
        perform(m_owner->on_adopted(m_written, m_epoch, simulation.now()));
    }

    void schedule_owner_change()
    {
        const std::int64_t mean = m_faults.owner_change.count();
        simulation.after(simulation.pick_ms(mean / 2, mean * 3 / 2),
                         [this]
                         {
                             if (m_faults.owner_change.count() == 0)
                             {
                                 return;
                             }
                             // The owner crashes or hangs: its orders in
                             // flight still arrive, its wakes get no answer.
                             m_owner.reset();
                             std::erase_if(m_waiting,
                                           [](const auto&) { return true; });
                             simulation.after(simulation.pick_ms(0, 500),
                                              [this]
                                              {
                                                  take_over();
                                                  schedule_owner_change();
                                              });
                         });
    }

    void schedule_crash()
    {
        const std::int64_t mean = m_faults.server_crash.count();
        simulation.after(simulation.pick_ms(mean / 2, mean * 3 / 2),
                         [this]
                         {
                             if (m_faults.server_crash.count() == 0)
                             {
                                 return;
                             }
                             const auto n =
                                 simulation.pick(0, m_sizes.servers - 1);
                             m_servers[static_cast<std::size_t>(n)]->crash();
                             schedule_crash();
                         });
    }

    void tick()
    {
        if (m_owner)
        {
            perform(m_owner->on_tick(simulation.now()));
        }
        check_waits();
        simulation.after(milliseconds(20), [this] { tick(); });
    }

    void report()
    {
        for (std::size_t n = 0; n < m_servers.size(); ++n)
        {
            // The report is out of date when it arrives.
            const server_report seen = m_servers[n]->report();
            simulation.after(simulation.pick_ms(1, 400),
                             [this, n, seen, epoch = m_epoch]
                             {
                                 if (m_owner && epoch == m_epoch)
                                 {
                                     perform(
                                         m_owner->on_report(m_specs[n].id, seen,
                                                            simulation.now()));
                                 }
                             });
        }
        simulation.after(milliseconds(500), [this] { report(); });
    }

    void perform(const action_list& actions)
    {
        for (const action& it : actions)
        {
            std::visit([this](const auto& a) { perform(a); }, it);
        }
    }

    void perform(const commit_action& it)
    {
        const std::uint64_t expected = m_version;
        simulation.after(simulation.pick_ms(1, 30),
                         [this, it, expected, epoch = m_epoch]
                         {
                             // The update is conditional on the version, so
                             // that of a former owner fails.
                             if (expected != m_version)
                             {
                                 return;
                             }
                             m_written = it.content;
                             ++m_version;
                             answer_commit(it, epoch);
                         });
    }

    void answer_commit(const commit_action& it, epoch_number epoch)
    {
        // After a lost answer the write is confirmed by reading the document
        // back, which takes longer.
        const bool is_lost = simulation.happens(m_faults.lost_answers);
        const auto delay = is_lost ? simulation.pick_ms(100, 1'500)
                                   : simulation.pick_ms(1, 10);
        simulation.after(delay,
                         [this, it, epoch]
                         {
                             if (m_owner && epoch == m_epoch)
                             {
                                 perform(m_owner->on_committed(
                                     it.sequence, simulation.now()));
                             }
                         });
    }

    void perform(const order_action& it)
    {
        const bool is_late = simulation.happens(m_faults.late_orders);
        const bool is_lost =
            is_late || simulation.happens(m_faults.lost_answers);
        const auto delay = is_late ? simulation.pick_ms(1'000, 25'000)
                                   : simulation.pick_ms(1, 20);
        const auto server = std::find_if(
            m_servers.begin(), m_servers.end(),
            [&](const auto& s) { return s->spec().id == it.target.server; });
        fakes::fake_server& to = **server;
        const epoch_number epoch = m_epoch;
        auto is_answered = std::make_shared<bool>(false);
        const auto finish = [this, it, epoch, is_answered](order_result result)
        {
            if (!std::exchange(*is_answered, true) && m_owner &&
                epoch == m_epoch)
            {
                perform(m_owner->on_order_result(it.target.generation, it.kind,
                                                 result, simulation.now()));
            }
        };
        simulation.after(
            delay,
            [this, &to, it, finish, is_lost]
            {
                to.receive(it,
                           [this, finish, is_lost](order_result result)
                           {
                               if (!is_lost)
                               {
                                   simulation.after(simulation.pick_ms(1, 20),
                                                    [finish, result]
                                                    { finish(result); });
                               }
                           });
            });
        simulation.after(milliseconds(3'000),
                         [finish] { finish(order_result::unknown); });
    }

    void perform(const answer_action& it)
    {
        const auto at = m_waiting.find(it.ticket);
        ASSERT_NE(at, m_waiting.end()) << "answered twice: " << it.ticket;
        if (std::holds_alternative<replica>(it.answer))
        {
            m_waits.push_back(std::chrono::duration<double, std::milli>(
                                  simulation.now() - at->second.asked_at)
                                  .count());
        }
        m_waiting.erase(at);
        ++(std::holds_alternative<replica>(it.answer) ? served : refused);
    }

    placement_sizes m_sizes;
    placement_faults m_faults;
    load_limits m_limits;
    std::vector<double> m_waits;
    std::vector<item_spec> m_items;
    std::vector<server_spec> m_specs;
    std::vector<std::unique_ptr<fakes::fake_server>> m_servers;
    std::unique_ptr<placement_machine> m_owner;
    epoch_number m_epoch;
    document m_written;
    std::uint64_t m_version = 0;
    std::uint64_t m_next_ticket = 1;
    std::map<std::uint64_t, wait> m_waiting;
};

} // namespace cicadahub::placement
