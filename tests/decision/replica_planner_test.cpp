#include "decision/replicas/replica_planner.hpp"

#include <gtest/gtest.h>

namespace cicadahub::replicas
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};
constexpr time_point now = start + seconds(10);

/// Engines of 100 MB each; models of 40 MB.
class planner_fixture : public testing::Test
{
protected:
    planner_fixture()
    {
        m_engine.megabytes = 100;
        m_engine.adapter_slots = 2;
        m_engine.slots = 8;
        for (const char* name : {"a", "b", "c", "d", "e"})
        {
            serving::model_spec spec;
            spec.megabytes = 40;
            spec.load_from_store = milliseconds(6'000);
            spec.load_from_disk = milliseconds(800);
            spec.load_from_memory = milliseconds(300);
            spec.adapter_megabytes = 1;
            m_engine.models[model_id(name)] = spec;
        }
    }

    void add_server(const char* name, const std::set<std::string>& models,
                    const std::set<std::string>& on_disk = {},
                    const char* version = "v1", bool is_leaving = false)
    {
        serving::server_entry entry;
        entry.id = server_id(name);
        entry.version = software_version(version);
        entry.is_leaving = is_leaving;
        serving::server_report report;
        for (const std::string& it : models)
        {
            entry.models[model_id(it)];
            report.on_disk.insert(model_id(it));
        }
        for (const std::string& it : on_disk)
        {
            report.on_disk.insert(model_id(it));
        }
        report.models = entry.models;
        server_state state(entry, start);
        state.on_report(report, start + seconds(1), start + seconds(1));
        m_servers.emplace(entry.id, std::move(state));
    }

    void add_demand(const char* model, std::uint32_t waiting = 1,
                    milliseconds slack = milliseconds(2'000),
                    const char* adapter = nullptr)
    {
        pending_demand it;
        it.copy.model = model_id(model);
        if (adapter != nullptr)
        {
            it.copy.adapter = adapter_id(adapter);
        }
        it.waiting = waiting;
        it.slack = slack;
        m_pending_demands.push_back(it);
    }

    void use(const char* model, double rate, std::uint32_t running = 0)
    {
        m_use[model_id(model)] = {rate, running};
    }

    std::vector<planned_order> plan()
    {
        const planner_view view{
            m_engine, m_servers, m_pending_demands, m_use, m_running, {}, {}};
        return replica_planner(planner_limits{}).plan(view, now);
    }

    static std::string text_of(const planned_order& it)
    {
        return std::string(it.what.kind == order_kind::load ? "load "
                                                            : "unload ") +
               it.what.copy.model.value() +
               (it.what.copy.adapter ? ":" + it.what.copy.adapter->value()
                                     : "") +
               " " + it.what.server.value();
    }

    std::vector<std::string> planned()
    {
        std::vector<std::string> texts;
        for (const planned_order& it : plan())
        {
            texts.push_back(text_of(it));
        }
        return texts;
    }

    serving::engine_spec m_engine;
    std::map<server_id, server_state> m_servers;
    std::vector<pending_demand> m_pending_demands;
    std::map<model_id, model_use> m_use;
    std::map<std::pair<server_id, model_id>, std::uint32_t> m_running;
};

using texts = std::vector<std::string>;

// While a software version is replaced, the new one's copies are of no use to
// streams that the old one began.
TEST_F(planner_fixture, a_stream_gets_a_copy_at_the_version_that_began_it)
{
    std::erase_if(m_engine.models,
                  [](const auto& it) { return it.first != model_id("a"); });
    add_server("new", {"a"}, {}, "v2");
    add_server("old", {}, {"a"}, "v1");
    add_demand("a");
    EXPECT_EQ(planned(), texts{});
    add_demand("a");
    m_pending_demands.back().version = software_version("v1");
    EXPECT_EQ(planned(), texts{"load a old"});
    // The load is on its way.
    EXPECT_EQ(planned(), texts{});
}

TEST_F(planner_fixture, a_copy_for_a_stream_serves_other_requests_too)
{
    std::erase_if(m_engine.models,
                  [](const auto& it) { return it.first != model_id("a"); });
    add_server("s1", {}, {"a"});
    add_server("s2", {}, {"a"});
    add_demand("a");
    add_demand("a");
    m_pending_demands.back().version = software_version("v1");
    EXPECT_EQ(plan().size(), 1U);
}

TEST_F(planner_fixture, a_stream_that_has_begun_is_loaded_for_first)
{
    std::erase_if(
        m_engine.models, [](const auto& it)
        { return it.first != model_id("a") && it.first != model_id("b"); });
    add_server("s", {}, {"a", "b"});
    add_demand("a", 3, milliseconds(500));
    add_demand("b", 1, milliseconds(2'000));
    m_pending_demands.back().version = software_version("v1");
    EXPECT_EQ(planned(), texts{"load b s"});
}

// Guards against requests without a copy that they may use: the only one is in
// an evacuated data centre or in a region that they may not reach. A warm
// server is loaded rather than a cold one.
TEST_F(planner_fixture, copies_count_only_where_requests_may_use_them)
{
    std::erase_if(m_engine.models,
                  [](const auto& it) { return it.first != model_id("a"); });
    add_server("s1", {"a"}, {});
    add_server("s2", {}, {"a"});
    add_server("s3", {}, {"a"});
    add_demand("a");
    EXPECT_EQ(planned(), texts{});
    const auto state = [&](const char* name) -> server_state&
    {
        return m_servers.at(server_id(name));
    };
    state("s2").set_cold(true);
    m_pending_demands.back().regions = {region_id("south")};
    EXPECT_EQ(planned(), texts{});
    state("s2").set_region(region_id("south"));
    state("s3").set_region(region_id("south"));
    EXPECT_EQ(planned(), texts{"load a s3"});
    m_pending_demands.clear();
    EXPECT_EQ(planned(), texts{});
}

TEST_F(planner_fixture, copies_of_an_evacuated_data_centre_are_replaced)
{
    std::erase_if(m_engine.models,
                  [](const auto& it) { return it.first != model_id("a"); });
    add_server("s1", {"a"}, {});
    add_server("s2", {}, {"a"});
    m_servers.at(server_id("s1")).set_evacuated(true);
    add_demand("a");
    EXPECT_EQ(planned(), texts{"load a s2"});
}

TEST_F(planner_fixture, a_stream_whose_version_has_no_server_causes_no_load)
{
    std::erase_if(m_engine.models,
                  [](const auto& it) { return it.first != model_id("a"); });
    add_server("new", {"a"}, {}, "v2");
    add_server("other", {}, {"a"}, "v2");
    add_server("leaving", {}, {"a"}, "v1", true);
    add_demand("a");
    m_pending_demands.back().version = software_version("v1");
    EXPECT_EQ(planned(), texts{});
}

struct reliance_case
{
    const char* name;
    /// Software version of the server with the victims, and of another one.
    const char* version;
    const char* other_version;
    bool is_third_copy_there;
    const char* victim;
};

void PrintTo(const reliance_case& it, std::ostream* out)
{
    *out << it.name;
}

class relied_on_copies : public planner_fixture,
                         public testing::WithParamInterface<reliance_case>
{
};

// The streams of `a` at "leaving" can go on at "s" only, unless another server
// of their version holds it.
TEST_P(relied_on_copies, are_evicted_last)
{
    m_engine.models.erase(model_id("d"));
    m_engine.models.erase(model_id("e"));
    add_server("s", {"a", "b"}, {"c"}, GetParam().version);
    add_server("leaving", {"a"}, {}, "v1", true);
    if (GetParam().is_third_copy_there)
    {
        add_server("t1", {"a"}, {}, GetParam().version);
        add_server("t2", {"a"}, {}, GetParam().version);
    }
    add_server("other", {"b", "a"}, {}, GetParam().other_version);
    m_running[{server_id("leaving"), model_id("a")}] = 3;
    use("b", 0.2);
    use("a", 0.1, 3);
    add_demand("c");
    const texts orders = planned();
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders.front(),
              std::string("unload ") + GetParam().victim + " s");
}

INSTANTIATE_TEST_SUITE_P(
    planner_fixture, relied_on_copies,
    testing::Values(reliance_case{"at_the_old_version", "v1", "v2", false, "b"},
                    reliance_case{"at_the_new_version", "v2", "v2", false, "a"},
                    reliance_case{"with_other_copies", "v1", "v2", true, "a"}),
    [](const auto& it) { return std::string(it.param.name); });

TEST_F(planner_fixture, a_burst_of_requests_for_one_model_causes_one_load)
{
    m_engine.models.erase(model_id("d"));
    m_engine.models.erase(model_id("e"));
    add_server("s1", {"a"}, {"b", "c"});
    add_server("s2", {"c"}, {"b"});
    add_demand("b", 5);
    add_demand("b", 7);
    EXPECT_EQ(planned(), texts{"load b s1"});
}

TEST_F(planner_fixture, a_load_prefers_a_server_with_a_cached_copy)
{
    m_engine.models.erase(model_id("d"));
    m_engine.models.erase(model_id("e"));
    add_server("s1", {}, {"a", "c"});
    add_server("s2", {"a", "c"}, {"b"});
    add_demand("b");
    // An eviction costs less than the six seconds of a load from the store.
    const texts orders = planned();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(orders.front() == "unload a s2" ||
                orders.front() == "unload c s2");
}

TEST_F(planner_fixture, a_model_with_pending_demand_is_not_evicted)
{
    m_engine.models.erase(model_id("d"));
    m_engine.models.erase(model_id("e"));
    add_server("s1", {"a", "c"}, {"b"});
    add_demand("b");
    add_demand("a");
    EXPECT_EQ(planned(), texts{"unload c s1"});
}

// Guards against a planner that looks at waiting requests only. After the
// engines of a service were replaced by empty ones, every request for the
// busiest model was refused because no load could end in time; none waited, and
// the model was never loaded again.
TEST_F(planner_fixture, a_model_whose_requests_are_all_refused_is_loaded_again)
{
    add_server("new", {});
    use("a", 12.0);
    use("b", 0.1);
    const texts orders = planned();
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders.front(), "load a new");
}

TEST_F(planner_fixture, loads_from_the_store_stay_within_their_limit)
{
    for (const char* name : {"s1", "s2", "s3", "s4", "s5", "s6"})
    {
        add_server(name, {});
    }
    for (const char* model : {"a", "b", "c", "d", "e"})
    {
        add_demand(model);
    }
    EXPECT_EQ(plan().size(), planner_limits{}.max_concurrent_store_loads);
}

// A rolling update replaces the servers one by one. The busy model must be
// loaded on a new server before the last old one leaves.
TEST_F(planner_fixture,
       a_busy_model_gets_another_copy_before_its_last_server_leaves)
{
    add_server("old", {"a", "b"}, {"c", "d", "e"});
    add_server("new", {});
    use("a", 12.0, 4);
    use("b", 0.05);
    const texts orders = planned();
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders.front(), "load a new");
}

TEST_F(planner_fixture, an_overloaded_model_gets_another_replica)
{
    add_server("s1", {"a", "b"});
    add_server("s2", {"c"}, {"a", "d", "e"});
    use("a", 40, 30);
    EXPECT_EQ(planned(), texts{"load a s2"});
}

TEST_F(planner_fixture, an_adapter_replaces_the_least_used_one)
{
    m_engine.models = {{model_id("a"), m_engine.models.at(model_id("a"))}};
    serving::server_entry entry;
    entry.id = server_id("s1");
    serving::server_report report;
    report.models = {{model_id("a"), {adapter_id("x"), adapter_id("y")}}};
    report.on_disk = {model_id("a")};
    server_state state(entry, start);
    state.on_report(report, start + seconds(1), start + seconds(1));
    m_servers.emplace(entry.id, std::move(state));
    add_demand("a", 1, milliseconds(500), "z");
    const std::map<copy_name, double> rates{
        {{model_id("a"), adapter_id("x")}, 3.0}};
    const planner_view view{
        m_engine, m_servers, m_pending_demands, m_use, m_running, {}, rates};
    const auto orders = replica_planner(planner_limits{}).plan(view, now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(text_of(orders.front()), "unload a:y s1");
}

TEST_F(planner_fixture,
       no_order_is_planned_for_a_server_with_an_order_in_flight)
{
    m_engine.models.erase(model_id("d"));
    m_engine.models.erase(model_id("e"));
    add_server("s1", {"a"}, {"b", "c"});
    add_demand("b");
    EXPECT_EQ(plan().size(), 1U);
    add_demand("c");
    EXPECT_TRUE(plan().empty());
}

} // namespace
} // namespace cicadahub::replicas
