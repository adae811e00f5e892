#include "decision/replicas/replica_index.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cicadahub::replicas
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};
constexpr int model_count = 12;

model_id model(std::uint64_t n)
{
    return model_id("m" + std::to_string(n % model_count));
}

/// Reference for the index: counts the servers with a model one by one.
replica_counts count_naively(const std::map<server_id, server_state>& servers,
                             const model_id& name)
{
    replica_counts sum;
    for (const auto& [id, it] : servers)
    {
        sum.pending_evictions +=
            it.pending() && it.pending()->makes_room_for == name;
        if (!it.is_usable())
        {
            continue;
        }
        const bool is_cached = it.has_cached_copy(name);
        sum.serving += it.serves(name);
        sum.replicas += it.serves(name) || it.is_loading(name);
        sum.cached += is_cached;
        sum.copies +=
            is_cached || it.models().contains(name) || it.is_loading(name);
    }
    return sum;
}

class replica_index_runs : public testing::TestWithParam<std::uint64_t>
{
protected:
    void add_servers()
    {
        for (int n = 0; n < 9; ++n)
        {
            serving::server_entry entry;
            entry.id = server_id("s" + std::to_string(n));
            entry.is_leaving = m_random() % 5 == 0;
            entry.models[model(m_random())];
            entry.models[model(m_random())];
            entry.in_memory = {model(m_random())};
            entry.on_disk = {model(m_random()), model(m_random())};
            m_servers.emplace(entry.id, server_state(entry, start));
        }
    }

    order random_order()
    {
        order it;
        it.kind = m_random() % 2 == 0 ? order_kind::load : order_kind::unload;
        it.copy.model = model(m_random());
        it.is_store_load = m_random() % 2 == 0;
        return it;
    }

    std::mt19937_64 m_random{GetParam()};
    serving::engine_spec m_engine;
    std::map<server_id, server_state> m_servers;
};

TEST_P(replica_index_runs, agrees_with_a_count_of_all_servers)
{
    add_servers();
    const planner_view view{m_engine, m_servers, {}, {}, {}, {}, {}};
    replica_index index(view);
    for (int round = 0; round < 200; ++round)
    {
        auto at = m_servers.begin();
        std::advance(at, static_cast<std::ptrdiff_t>(m_random() % 9));
        index.remove(at->second);
        const order it = random_order();
        at->second.on_order_sent(it, milliseconds(300), model(m_random()),
                                 start);
        if (m_random() % 3 == 0)
        {
            at->second.on_answer(it, order_answer::refused, start);
        }
        index.add(at->second);
        for (std::uint64_t n = 0; n < model_count; ++n)
        {
            EXPECT_EQ(index.counts_of(model(n)),
                      count_naively(m_servers, model(n)));
        }
        EXPECT_EQ(index.store_loads(), replica_index(view).store_loads());
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, replica_index_runs,
                         testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace cicadahub::replicas
