#include "decision/replicas/server_state.hpp"

#include <gtest/gtest.h>

namespace cicadahub::replicas
{
namespace
{

const model_id small("small");
const model_id large("large");
constexpr time_point start{std::chrono::seconds(100)};

serving::server_entry entry_with(const serving::holdings& models,
                                 std::uint64_t revision)
{
    serving::server_entry it;
    it.id = server_id("s1");
    it.incarnation = 7;
    it.models = models;
    it.revision = object_version(revision);
    return it;
}

serving::server_report report_with(const serving::holdings& models,
                                   std::uint64_t orders, bool is_busy = false)
{
    serving::server_report it;
    it.models = models;
    it.orders_accepted = orders;
    it.is_busy = is_busy;
    return it;
}

order load_of(const model_id& model, std::uint64_t expected)
{
    order it;
    it.server = server_id("s1");
    it.incarnation = 7;
    it.copy = {model, std::nullopt};
    it.expected = expected;
    return it;
}

order adapter_unload(const char* adapter, std::uint64_t expected)
{
    order it = load_of(small, expected);
    it.kind = order_kind::unload;
    it.copy.adapter = adapter_id(adapter);
    return it;
}

/// A server's state that a report has confirmed one second after the start.
server_state confirmed(const serving::holdings& models, std::uint64_t orders)
{
    server_state state(entry_with(models, 1), start);
    const time_point later = start + seconds(1);
    state.on_report(report_with(models, orders), later, later);
    return state;
}

TEST(server_state, is_not_confirmed_while_another_holders_order_runs)
{
    server_state state(entry_with({}, 1), start);
    const time_point later = start + seconds(1);
    state.on_report(report_with({}, 3, true), later, later);
    EXPECT_TRUE(state.is_order_blocked());
    const time_point end = later + seconds(1);
    state.on_report(report_with({{large, {}}}, 3), end, end);
    EXPECT_FALSE(state.is_order_blocked());
    EXPECT_TRUE(state.serves(large));
}

TEST(server_state, is_not_confirmed_by_an_outdated_report)
{
    server_state state(entry_with({}, 1), start);
    const time_point soon = start + milliseconds(100);
    state.on_report(report_with({}, 3), soon, soon);
    EXPECT_TRUE(state.is_order_blocked());
}

TEST(server_state, keeps_a_loaded_model_despite_an_outdated_report)
{
    server_state state = confirmed({}, 4);
    const time_point sent = start + seconds(2);
    const order load = load_of(large, 4);
    state.on_order_sent(load, milliseconds(400), std::nullopt, sent);
    state.on_answer(load, order_answer::accepted, sent + milliseconds(5));
    const time_point seen = sent + milliseconds(400);
    EXPECT_TRUE(state.on_entry(entry_with({{large, {}}}, 2), seen));
    // Requested at once, the report shows the server before the load ended.
    const time_point requested_at = seen + milliseconds(10);
    state.on_report(report_with({}, 5, true), requested_at, requested_at);
    EXPECT_TRUE(state.serves(large));
}

TEST(server_state, counts_the_memory_of_a_load_from_order_to_completion)
{
    serving::engine_spec engine;
    engine.megabytes = 100;
    engine.models[large].megabytes = 60;
    server_state state = confirmed({}, 0);
    const order load = load_of(large, 0);
    state.on_order_sent(load, milliseconds(400), std::nullopt, start);
    EXPECT_EQ(state.used_megabytes(engine), 60);
    state.on_answer(load, order_answer::unknown, start + seconds(2));
    EXPECT_EQ(state.used_megabytes(engine), 60);
    EXPECT_TRUE(state.is_order_blocked());
}

TEST(server_state, can_order_again_once_a_report_excludes_an_unanswered_order)
{
    server_state state = confirmed({}, 2);
    const time_point sent = start + seconds(2);
    const order load = load_of(large, 2);
    state.on_order_sent(load, milliseconds(400), std::nullopt, sent);
    state.on_answer(load, order_answer::unknown, sent + seconds(1));
    const time_point requested_at = sent + seconds(2);
    state.on_report(report_with({}, 2), requested_at, requested_at);
    EXPECT_FALSE(state.is_order_blocked());
    // The late order has the same number as the next one: the server carries
    // out only one of the two.
    EXPECT_EQ(state.orders_accepted(), 2U);
}

TEST(server_state, a_withheld_order_changes_nothing)
{
    server_state state = confirmed({}, 4);
    const order it = load_of(large, 4);
    state.on_order_sent(it, seconds(6), std::nullopt, start + seconds(2));
    state.on_answer(it, order_answer::withheld, start + seconds(3));
    EXPECT_FALSE(state.is_order_blocked());
    EXPECT_FALSE(state.is_loading(large));
    EXPECT_EQ(state.orders_accepted(), 4U);
}

TEST(server_state, gets_no_order_in_a_pause)
{
    server_state state = confirmed({}, 4);
    state.set_paused(true);
    EXPECT_TRUE(state.is_order_blocked());
    state.set_paused(false);
    EXPECT_FALSE(state.is_order_blocked());
}

TEST(server_state, an_immediate_adapter_unload_uses_an_order_number)
{
    server_state state = confirmed({{small, {adapter_id("a1")}}}, 5);
    const order unload = adapter_unload("a1", 5);
    state.on_order_sent(unload, {}, std::nullopt, start + seconds(2));
    state.on_answer(unload, order_answer::holds, start + seconds(2));
    EXPECT_EQ(state.orders_accepted(), 6U);
    EXPECT_EQ(state.adapter_count(), 0U);
    EXPECT_FALSE(state.is_order_blocked());
}

TEST(server_state, reads_the_order_number_again_after_a_conflict)
{
    server_state state = confirmed({{small, {adapter_id("a1")}}}, 6);
    const time_point now = start + seconds(2);
    const order load = load_of(large, 6);
    state.on_order_sent(load, milliseconds(400), std::nullopt, now);
    state.on_answer(load, order_answer::conflict, now);
    EXPECT_TRUE(state.is_order_blocked());
    const time_point requested_at = now + seconds(1);
    state.on_report(report_with({{small, {}}}, 5), requested_at, requested_at);
    EXPECT_FALSE(state.is_order_blocked());
    EXPECT_EQ(state.orders_accepted(), 5U);
}

} // namespace
} // namespace cicadahub::replicas
