#pragma once

#include "core/store_version.hpp"
#include "decision/ownership/shard_lease.hpp"
#include "decision/replicas/replica_planner.hpp"
#include "entry/servers/server_table.hpp"
#include "fake_engine.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace cicadahub::entry
{

/// Simulates hosts, engines and the platform's store in virtual time, with
/// engines that leave, restart and ask for pauses, a store that goes away and
/// is restored from an older copy, and hosts that freeze, restart or are cut
/// off from the store; all of it overlaps. Checks what the engines see and what
/// the hosts remember.
class disruption_run
{
public:
    explicit disruption_run(std::uint64_t seed) : m_simulation(seed)
    {
        m_spec.megabytes = 100;
        m_spec.adapter_slots = 3;
        m_spec.slots = 8;
        for (int n = 0; n < model_count; ++n)
        {
            serving::model_spec it;
            it.megabytes = 30;
            it.load_from_store = milliseconds(6'000);
            it.load_from_disk = milliseconds(800);
            it.load_from_memory = milliseconds(800);
            m_spec.models[model_of(n)] = it;
        }
        for (int n = 0; n < engine_count; ++n)
        {
            m_engines.push_back(std::make_unique<engine>());
            engine& it = *m_engines.back();
            it.id = server_id("s" + std::to_string(n));
            it.process = std::make_unique<fakes::fake_engine>(
                m_simulation, it.id, fakes::fake_engine::size{100, 30, 3},
                [](const std::string& what)
                { ADD_FAILURE() << "overcommitted: " << what; },
                [] {});
            heartbeat(it);
        }
        for (int n = 0; n < host_count; ++n)
        {
            m_hosts.push_back(std::make_unique<host>());
            host& it = *m_hosts.back();
            it.number = n;
            it.clock_offset = m_simulation.pick_ms(0, 1'000'000);
            start(it);
            step(it);
            send_requests(it);
        }
        repeat(4'000, [this] { begin_leave(); });
        repeat(9'000, [this] { any_engine().crash(m_simulation.now()); });
        repeat(3'000, [this] { begin_pause(any_engine()); });
        repeat(12'000,
               [this]
               {
                   for (const auto& it : m_engines)
                   {
                       begin_pause(*it);
                   }
               });
        repeat(5'000, [this] { take_store_away(); });
        repeat(6'000, [this] { cut_off(any_host()); });
        repeat(5'000, [this] { freeze(any_host()); });
        repeat(11'000, [this] { stop(any_host()); });
    }

    void run_for(seconds length) { m_simulation.run_until(time_point(length)); }

    std::uint64_t loads() const
    {
        std::uint64_t n = 0;
        for (const auto& it : m_engines)
        {
            n += it->process->loads();
        }
        return n;
    }

    std::uint64_t requests = 0;
    std::uint64_t sheds = 0;
    std::uint64_t leaves_heard = 0;
    std::uint64_t restores = 0;
    std::uint64_t orders = 0;
    std::uint64_t held_steps = 0;

private:
    static constexpr int model_count = 10;
    static constexpr int engine_count = 5;
    static constexpr int host_count = 3;
    static constexpr ownership::lease_timing timing{
        milliseconds(1'000), milliseconds(250), milliseconds(300)};
    /// What was on its way may arrive so much later.
    static constexpr milliseconds grace{500};
    static constexpr milliseconds restored_list_grace{4'000};

    struct pause_window
    {
        time_point asked_at;
        time_point ends_at;
    };

    struct engine
    {
        server_id id;
        std::unique_ptr<fakes::fake_engine> process;
        time_point born{};
        bool is_leaving = false;
        bool tells_store = false;
        time_point sheds_until{};
        std::uint64_t fence = 0;
        /// By host: what it was told by this incarnation.
        std::map<int, std::vector<pause_window>> pauses;
        std::map<int, time_point> told_of_leave;

        std::int64_t incarnation() const
        {
            return process->entry().incarnation;
        }

        void crash(time_point now)
        {
            process->crash();
            born = now;
            is_leaving = false;
            tells_store = false;
            sheds_until = {};
            fence = 0;
            pauses.clear();
            told_of_leave.clear();
        }
    };

    struct object_store
    {
        store_era era{1};
        std::uint64_t revision = 1;
        ownership::lease_record lease;
        std::uint64_t lease_revision = 0;
        std::map<server_id, std::pair<std::uint64_t, boost::json::object>>
            servers;
    };

    struct host
    {
        int number = 0;
        milliseconds clock_offset{0};
        time_point frozen_until{};
        /// Until then the store does not answer this host.
        time_point cut_until{};
        /// Starts of the process; answers to a former one are lost.
        int start = 0;
        document_dialect documents{{}, {}, read_server};
        std::unique_ptr<server_table> table;
        std::unique_ptr<ownership::shard_lease> lease;
        std::map<server_id, replicas::server_state> states;
        epoch_number states_of;
        store_era era;
        time_point removes_from{};
        bool is_writing = false;
        object_version lease_version;
        object_version list_version;
        std::map<server_id, std::int64_t> incarnations;
    };

    /// What the head of an answer says of its engine.
    struct head
    {
        bool is_leaving = false;
        std::optional<milliseconds> pause;
    };

    static model_id model_of(std::int64_t n)
    {
        return model_id("m" + std::to_string(n));
    }

    static serving::server_entry read_server(const platform::stored_object& it)
    {
        serving::server_entry entry;
        entry.id = server_id(it.name);
        entry.revision = it.version;
        entry.incarnation = it.spec.at("incarnation").as_int64();
        entry.is_leaving = it.spec.at("leaving").as_bool();
        for (const auto& model : it.spec.at("models").as_array())
        {
            entry.models[model_id(std::string(model.as_string()))];
        }
        for (const auto& model : it.spec.at("disk").as_array())
        {
            entry.on_disk.insert(model_id(std::string(model.as_string())));
        }
        return entry;
    }

    void repeat(std::int64_t mean_ms, const std::function<void()>& event)
    {
        m_simulation.after(m_simulation.pick_ms(mean_ms / 2, mean_ms * 2),
                           [this, mean_ms, event]
                           {
                               event();
                               repeat(mean_ms, event);
                           });
    }

    engine& any_engine()
    {
        return *m_engines[static_cast<std::size_t>(
            m_simulation.pick(0, engine_count - 1))];
    }

    host& any_host()
    {
        return *m_hosts[static_cast<std::size_t>(
            m_simulation.pick(0, host_count - 1))];
    }

    engine& engine_of(const server_id& id)
    {
        return **std::find_if(m_engines.begin(), m_engines.end(),
                              [&](const auto& it) { return it->id == id; });
    }

    time_point clock_of(const host& it) const
    {
        return m_simulation.now() + it.clock_offset;
    }

    bool is_store_up() const
    {
        return m_simulation.now() >= m_store_down_until;
    }

    bool reaches_store(const host& it) const
    {
        return is_store_up() && m_simulation.now() >= it.cut_until;
    }

    // Events.

    void begin_leave()
    {
        engine& it = any_engine();
        if (it.is_leaving || m_simulation.now() < it.born + seconds(1))
        {
            return;
        }
        it.is_leaving = true;
        const std::int64_t incarnation = it.incarnation();
        const auto if_same = [&it, incarnation](auto event)
        {
            return [&it, incarnation, event]
            {
                if (it.incarnation() == incarnation)
                {
                    event(it);
                }
            };
        };
        if (m_simulation.happens(0.5))
        {
            m_simulation.after(
                m_simulation.pick_ms(0, 1'000),
                if_same([](engine& at) { at.tells_store = true; }));
        }
        m_simulation.after(
            m_simulation.pick_ms(1'500, 5'000),
            if_same([this](engine& at) { at.crash(m_simulation.now()); }));
    }

    void begin_pause(engine& it)
    {
        it.sheds_until =
            std::max(it.sheds_until,
                     m_simulation.now() + m_simulation.pick_ms(500, 4'000));
    }

    /// The store goes away for some time; half of the times it comes back from
    /// a copy that is some seconds old.
    void take_store_away()
    {
        const milliseconds outage =
            m_simulation.pick_ms(0, m_simulation.happens(0.5) ? 300 : 2'500);
        m_store_down_until = m_simulation.now() + outage;
        if (m_copies.empty() || m_simulation.happens(0.4))
        {
            return;
        }
        const store_era era(m_store.era.value() + 1);
        m_store = m_copies[static_cast<std::size_t>(m_simulation.pick(
            0, static_cast<std::int64_t>(m_copies.size()) - 1))];
        m_store.era = era;
        m_copies.clear();
        ++restores;
        for (const auto& it : m_hosts)
        {
            if (it->lease->is_held(clock_of(*it)) && m_simulation.happens(0.5))
            {
                cut_off(*it);
            }
        }
    }

    void keep_copy()
    {
        // About 4 s of heartbeats.
        constexpr std::size_t kept = 100;
        if (m_store.lease_revision > 0)
        {
            m_copies.push_back(m_store);
        }
        if (m_copies.size() > kept)
        {
            m_copies.pop_front();
        }
    }

    void freeze(host& it)
    {
        it.frozen_until = m_simulation.now() + m_simulation.pick_ms(100, 4'000);
    }

    void cut_off(host& it)
    {
        it.cut_until = m_simulation.now() + m_simulation.pick_ms(100, 3'000);
    }

    /// Restarts the process; half of the times it gives its lease up before.
    void stop(host& it)
    {
        if (m_simulation.happens(0.5) && !it.is_writing && reaches_store(it) &&
            m_simulation.now() >= it.frozen_until)
        {
            take_era(it, m_store.era);
            if (const auto last = it.lease->release(clock_of(it)))
            {
                store_lease(*last);
            }
        }
        start(it);
    }

    void start(host& it)
    {
        const std::string name(1, static_cast<char>('a' + it.number));
        ++it.start;
        it.frozen_until = {};
        it.table = std::make_unique<server_table>(it.documents);
        it.lease = std::make_unique<ownership::shard_lease>(
            daemon_id(name), timing, static_cast<std::uint32_t>(it.number));
        it.states.clear();
        it.era = store_era();
        it.removes_from = {};
        it.is_writing = false;
        it.lease_version = {};
        it.list_version = {};
        it.incarnations.clear();
        for (const auto& at : m_engines)
        {
            at->pauses.erase(it.number);
            at->told_of_leave.erase(it.number);
        }
    }

    void heartbeat(engine& it)
    {
        if (is_store_up())
        {
            const serving::server_entry entry = it.process->entry();
            boost::json::array models;
            for (const auto& [model, adapters] : entry.models)
            {
                models.emplace_back(model.value());
            }
            boost::json::array disk;
            for (const auto& model : entry.on_disk)
            {
                disk.emplace_back(model.value());
            }
            m_store.servers[it.id] = {++m_store.revision,
                                      {{"incarnation", entry.incarnation},
                                       {"leaving", it.tells_store},
                                       {"models", std::move(models)},
                                       {"disk", std::move(disk)}}};
            keep_copy();
        }
        m_simulation.after(m_simulation.pick_ms(150, 250),
                           [this, &it] { heartbeat(it); });
    }

    // A host.

    /// Runs an event of the host's process, later if it is frozen, and not at
    /// all if it was restarted.
    void on_host(host& it, milliseconds delay, std::function<void()> event)
    {
        m_simulation.after(
            delay,
            [this, &it, start = it.start, event = std::move(event)]
            {
                if (it.start != start)
                {
                    return;
                }
                if (m_simulation.now() < it.frozen_until)
                {
                    on_host(it,
                            std::chrono::ceil<milliseconds>(it.frozen_until -
                                                            m_simulation.now()),
                            event);
                    return;
                }
                event();
            });
    }

    void step(host& it)
    {
        if (m_simulation.now() >= it.frozen_until)
        {
            if (reaches_store(it) && m_simulation.happens(0.7))
            {
                read_store(it);
            }
            write_lease(it);
            place(it);
            check(it);
        }
        m_simulation.after(m_simulation.pick_ms(20, 80),
                           [this, &it] { step(it); });
    }

    void take_era(host& it, store_era era)
    {
        if (it.era.value() > 0 && era > it.era)
        {
            it.lease->on_store_restored(clock_of(it));
            EXPECT_FALSE(it.lease->is_held(clock_of(it)))
                << "held over an era at " << now_ms();
            it.removes_from = m_simulation.now() + restored_list_grace;
        }
        it.era = std::max(it.era, era);
    }

    void read_store(host& it)
    {
        take_era(it, m_store.era);
        it.lease->on_observed(m_store.lease,
                              in_era(m_store.era, m_store.lease_revision),
                              clock_of(it));
        for (const auto& [id, entry] : m_store.servers)
        {
            platform::stored_object object;
            object.name = id.value();
            object.version = in_era(m_store.era, entry.first);
            object.spec = entry.second;
            it.table->apply(object);
        }
        it.table->end_of_list(m_simulation.now() >= it.removes_from,
                              in_era(m_store.era, m_store.revision));
    }

    void write_lease(host& it)
    {
        if (it.is_writing)
        {
            return;
        }
        const auto next = it.lease->next_write(clock_of(it));
        if (!next)
        {
            return;
        }
        it.is_writing = true;
        on_host_or_store(it, *next);
    }

    /// The write is on its way even if its host freezes or restarts.
    void on_host_or_store(host& it, const ownership::lease_write& write)
    {
        m_simulation.after(
            m_simulation.pick_ms(0, 150),
            [this, &it, write, start = it.start]
            {
                auto result = ownership::lease_write_result::unknown;
                object_version version;
                store_era era;
                if (reaches_store(it))
                {
                    era = m_store.era;
                    result = store_lease(write);
                    version = in_era(era, m_store.lease_revision);
                }
                if (it.start != start)
                {
                    return;
                }
                on_host(it, m_simulation.pick_ms(0, 150),
                        [this, &it, result, version, era]
                        { end_write(it, result, version, era); });
            });
    }

    ownership::lease_write_result
    store_lease(const ownership::lease_write& write)
    {
        if (write.expected != in_era(m_store.era, m_store.lease_revision) &&
            m_store.lease_revision > 0)
        {
            return ownership::lease_write_result::conflict;
        }
        m_store.lease = write.record;
        m_store.lease_revision = ++m_store.revision;
        return m_simulation.happens(0.1)
                   ? ownership::lease_write_result::unknown
                   : ownership::lease_write_result::applied;
    }

    void end_write(host& it, ownership::lease_write_result result,
                   object_version version, store_era era)
    {
        it.is_writing = false;
        take_era(it, era);
        // The client takes a late answer of an older era for none.
        it.lease->on_write_result(
            era < it.era ? ownership::lease_write_result::unknown : result,
            version, clock_of(it));
        check(it);
    }

    void check(host& it)
    {
        int holders = 0;
        for (const auto& other : m_hosts)
        {
            holders += other->lease->is_held(clock_of(*other)) ? 1 : 0;
        }
        held_steps += static_cast<std::uint64_t>(holders);
        EXPECT_LE(holders, 1) << "at " << now_ms();
        EXPECT_GE(it.lease->version(), it.lease_version) << "at " << now_ms();
        EXPECT_GE(it.table->changed_version(), it.list_version)
            << "at " << now_ms();
        for (const auto& [id, record] : it.table->records())
        {
            check_record(it, *record);
        }
        it.lease_version = it.lease->version();
        it.list_version = it.table->changed_version();
    }

    void check_record(host& it, const server_record& record)
    {
        const server_id& id = record.entry.id;
        std::int64_t& incarnation = it.incarnations[id];
        EXPECT_GE(record.entry.incarnation, incarnation)
            << id.value() << " went back at " << now_ms();
        incarnation = std::max(incarnation, record.entry.incarnation);
        const engine& at = engine_of(id);
        if (at.incarnation() != record.entry.incarnation)
        {
            return;
        }
        EXPECT_TRUE(at.is_leaving || !record.entry.is_leaving)
            << id.value() << " does not leave, at " << now_ms();
        EXPECT_TRUE(at.pauses.contains(it.number) ||
                    !record.pause.is_active(clock_of(it)))
            << id.value() << " asked for no pause, at " << now_ms();
    }

    // Placement, as its controller does it.

    void place(host& it)
    {
        if (!it.lease->is_held(clock_of(it)))
        {
            it.states.clear();
            return;
        }
        if (it.states_of != it.lease->epoch())
        {
            it.states.clear();
            it.states_of = it.lease->epoch();
        }
        sync_states(it);
        replicas::planner_view view{m_spec, it.states, {}, {}, {}, {}, {}};
        for (int n = 0; n < 2; ++n)
        {
            replicas::pending_demand demand;
            demand.copy.model = model_of(m_simulation.pick(0, model_count - 1));
            demand.waiting = 3;
            demand.slack = seconds(8);
            view.use[demand.copy.model].requests_per_second += 3;
            view.pending_demands.push_back(demand);
        }
        const replicas::replica_planner planner{replicas::planner_limits{}};
        for (const auto& planned : planner.plan(view, clock_of(it)))
        {
            send_order(it, planned.what);
        }
        for (auto& [id, state] : it.states)
        {
            const auto record = it.table->find(id);
            const bool is_due = state.pending() &&
                                state.pending()->is_accepted &&
                                clock_of(it) >= state.pending()->due_at;
            if ((!state.is_confirmed() || is_due) && !state.awaits_answer() &&
                record->accepts_requests(clock_of(it)) &&
                m_simulation.happens(0.4))
            {
                request_report(it, record);
            }
        }
    }

    void sync_states(host& it)
    {
        std::erase_if(it.states,
                      [&](const auto& known)
                      {
                          const auto record = it.table->find(known.first);
                          return !record ||
                                 record->entry.incarnation !=
                                     known.second.entry().incarnation;
                      });
        for (const auto& [id, record] : it.table->records())
        {
            const auto [known, is_new] = it.states.try_emplace(
                id, replicas::server_state(record->entry, clock_of(it)));
            known->second.set_paused(record->pause.is_active(clock_of(it)));
            if (!is_new)
            {
                known->second.on_entry(record->entry, clock_of(it));
            }
        }
    }

    void send_order(host& it, const replicas::order& order)
    {
        const epoch_number epoch = it.lease->epoch();
        const auto record = it.table->find(order.server);
        EXPECT_TRUE(record->accepts_requests(clock_of(it)))
            << "an order was planned for " << order.server.value() << " at "
            << now_ms();
        on_host(it, m_simulation.pick_ms(0, 5),
                [this, &it, order, epoch, record]
                {
                    if (!it.lease->is_held(clock_of(it)) ||
                        it.lease->epoch() != epoch ||
                        !record->accepts_requests(clock_of(it)))
                    {
                        take_answer(it, order,
                                    replicas::order_answer::withheld);
                        return;
                    }
                    ++orders;
                    EXPECT_GE(epoch, m_highest_fence) << "at " << now_ms();
                    m_highest_fence = std::max(m_highest_fence, epoch);
                    exchange(
                        it, record, order.incarnation,
                        [order, epoch](engine& at)
                        { return carry_out(at, order, epoch); },
                        [this, &it, order](replicas::order_answer answer)
                        { take_answer(it, order, answer); });
                });
    }

    static replicas::order_answer
    carry_out(engine& at, const replicas::order& order, epoch_number epoch)
    {
        if (epoch.value() < at.fence)
        {
            return replicas::order_answer::refused;
        }
        at.fence = epoch.value();
        return at.process->receive(order);
    }

    void take_answer(host& it, const replicas::order& order,
                     replicas::order_answer answer)
    {
        const auto state = it.states.find(order.server);
        if (state != it.states.end() &&
            state->second.entry().incarnation == order.incarnation)
        {
            state->second.on_answer(order, answer, clock_of(it));
        }
    }

    void request_report(host& it, const server_table::record_pointer& record)
    {
        const time_point requested_at = clock_of(it);
        const std::int64_t incarnation = record->entry.incarnation;
        const server_id id = record->entry.id;
        exchange(
            it, record, incarnation,
            [](engine& at) { return std::optional(at.process->report()); },
            [this, &it, id, incarnation,
             requested_at](std::optional<serving::server_report> report)
            {
                const auto state = it.states.find(id);
                if (report && state != it.states.end() &&
                    state->second.entry().incarnation == incarnation)
                {
                    state->second.on_report(*report, requested_at,
                                            clock_of(it));
                }
            });
    }

    // Requests and what engines see of them.

    void send_requests(host& it)
    {
        m_simulation.after(
            m_simulation.pick_ms(5, 30),
            [this, &it]
            {
                send_requests(it);
                std::vector<server_table::record_pointer> usable;
                for (const auto& [id, record] : it.table->records())
                {
                    if (record->accepts_requests(clock_of(it)))
                    {
                        usable.push_back(record);
                    }
                }
                if (usable.empty() || m_simulation.now() < it.frozen_until)
                {
                    return;
                }
                ++requests;
                const auto& record =
                    usable[static_cast<std::size_t>(m_simulation.pick(
                        0, static_cast<std::int64_t>(usable.size()) - 1))];
                exchange(
                    it, record, record->entry.incarnation,
                    [](engine&) { return std::optional(true); },
                    [](std::optional<bool>) {});
            });
    }

    /// Sends a request of any kind. `serve` makes the engine's answer;
    /// `on_answer` gets a value of the answer's type that is made without
    /// arguments if the engine asked for a pause instead.
    template<typename Serve, typename OnAnswer>
    void exchange(host& it, const server_table::record_pointer& record,
                  std::int64_t incarnation, Serve serve, OnAnswer on_answer)
    {
        const time_point sent_at = m_simulation.now();
        m_simulation.after(
            m_simulation.pick_ms(0, 3),
            [this, &it, record, incarnation, serve, on_answer, sent_at,
             start = it.start]
            {
                engine& at = engine_of(record->entry.id);
                const bool is_expected = at.incarnation() == incarnation;
                if (is_expected)
                {
                    check_arrival(at, it.number, sent_at);
                }
                head said{at.is_leaving, std::nullopt};
                decltype(serve(at)) answer = no_answer<decltype(serve(at))>();
                if (m_simulation.now() < at.sheds_until)
                {
                    ++sheds;
                    said.pause = std::chrono::ceil<milliseconds>(
                        at.sheds_until - m_simulation.now());
                    if (at.pauses.contains(it.number) &&
                        m_simulation.happens(0.5))
                    {
                        // Shorter than what was asked for before.
                        said.pause = milliseconds(said.pause->count() / 2);
                    }
                    // A process that was restarted since does not get the
                    // answer.
                    if (is_expected && it.start == start)
                    {
                        at.pauses[it.number].push_back(
                            {m_simulation.now(),
                             m_simulation.now() + *said.pause});
                    }
                }
                else
                {
                    answer = serve(at);
                }
                if (it.start != start)
                {
                    return;
                }
                on_host(
                    it, m_simulation.pick_ms(0, 5),
                    [this, &it, record, answer, on_answer, said, is_expected]
                    {
                        take_head(it, *record, said, is_expected);
                        on_answer(answer);
                    });
            });
    }

    template<typename Answer>
    static Answer no_answer()
    {
        if constexpr (std::is_same_v<Answer, replicas::order_answer>)
        {
            return replicas::order_answer::unknown;
        }
        else
        {
            return {};
        }
    }

    void take_head(host& it, server_record& record, const head& said,
                   bool is_expected)
    {
        const serving::server_entry& entry = record.entry;
        if (said.is_leaving &&
            it.table->on_leaving(entry.id, entry.incarnation, "response"))
        {
            ++leaves_heard;
            tell_others(it, entry.id, entry.incarnation);
        }
        if (said.is_leaving && is_expected)
        {
            engine& at = engine_of(entry.id);
            if (at.incarnation() == entry.incarnation)
            {
                at.told_of_leave.try_emplace(it.number, m_simulation.now());
            }
        }
        if (said.pause)
        {
            record.pause.on_requested(
                clock_of(it), *said.pause,
                static_cast<double>(m_simulation.pick(0, 100)) / 100);
        }
    }

    /// Digests reach the other hosts late, perhaps after the next start of the
    /// engine.
    void tell_others(const host& from, const server_id& id,
                     std::int64_t incarnation)
    {
        for (const auto& it : m_hosts)
        {
            if (it->number != from.number)
            {
                on_host(*it, m_simulation.pick_ms(1, 6'000),
                        [&to = *it, id, incarnation]
                        { to.table->on_leaving(id, incarnation, "peer"); });
            }
        }
    }

    void check_arrival(const engine& at, int sender, time_point sent_at)
    {
        const auto pauses = at.pauses.find(sender);
        if (pauses != at.pauses.end())
        {
            for (const pause_window& it : pauses->second)
            {
                EXPECT_FALSE(m_simulation.now() > it.asked_at + grace &&
                             m_simulation.now() < it.ends_at &&
                             sent_at > it.asked_at + grace)
                    << "in a pause of " << at.id.value() << " at " << now_ms();
            }
        }
        const auto told = at.told_of_leave.find(sender);
        EXPECT_FALSE(told != at.told_of_leave.end() && sent_at > told->second)
            << at.id.value() << " had left at " << now_ms();
    }

    std::int64_t now_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(
                   m_simulation.now().time_since_epoch())
            .count();
    }

    fakes::simulation m_simulation;
    serving::engine_spec m_spec;
    object_store m_store;
    std::deque<object_store> m_copies;
    time_point m_store_down_until{};
    std::vector<std::unique_ptr<engine>> m_engines;
    std::vector<std::unique_ptr<host>> m_hosts;
    epoch_number m_highest_fence;
};

} // namespace cicadahub::entry
