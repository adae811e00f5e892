#include "decision/placement/placement_machine.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cicadahub::placement
{
namespace
{

const model_id base("m");
const model_id adapter("m:a");
/// Does not fit on the server together with `base`.
const model_id other("n");
const server_id server("s");
constexpr time_point start{std::chrono::seconds(100)};

std::vector<item_spec> items()
{
    return {{base, byte_count(10), std::nullopt},
            {adapter, byte_count(1), base},
            {other, byte_count(35), std::nullopt}};
}

std::vector<server_spec> servers()
{
    server_spec it;
    it.id = server;
    it.memory = byte_count(40);
    return {it};
}

/// The document of a former owner, with one replica of `base`.
document document_with(replica_state state, milliseconds unsettled)
{
    replica it;
    it.generation = generation_number(1);
    it.model = base;
    it.server = server;
    it.bytes = byte_count(10);
    it.state = state;
    it.unsettled = unsettled;
    document content;
    content.replicas.push_back(it);
    content.next_generation = 2;
    return content;
}

template<class Action>
std::vector<Action> pick(const action_list& actions)
{
    std::vector<Action> found;
    for (const action& it : actions)
    {
        if (const auto* wanted = std::get_if<Action>(&it))
        {
            found.push_back(*wanted);
        }
    }
    return found;
}

/// Drives one owner, confirms its writes at once and keeps the last document.
class owner
{
public:
    owner(const document& adopted, std::uint64_t epoch, time_point now)
        : written(adopted), m_machine(load_limits{}, placement_timing{})
    {
        m_machine.on_items(items());
        take(m_machine.on_servers(servers(), now), now);
        take(m_machine.on_adopted(adopted, epoch_number(epoch), now), now);
    }

    void take(const action_list& actions, time_point now)
    {
        for (const order_action& it : pick<order_action>(actions))
        {
            orders.push_back(it);
        }
        for (const commit_action& it : pick<commit_action>(actions))
        {
            written = it.content;
            take(m_machine.on_committed(it.sequence, now), now);
        }
    }

    void send_wake(const model_id& model, time_point now)
    {
        take(m_machine.on_wake({++m_ticket, model, now + seconds(60)}, now),
             now);
    }

    void answer(const order_action& it, order_result result, time_point now)
    {
        take(m_machine.on_order_result(it.target.generation, it.kind, result,
                                       now),
             now);
    }

    void report(const std::set<model_id>& loaded, time_point now)
    {
        server_report it;
        it.loaded = loaded;
        take(m_machine.on_report(server, it, now), now);
    }

    void tick(time_point now) { take(m_machine.on_tick(now), now); }

    bool is_written(const model_id& model) const
    {
        return std::any_of(written.replicas.begin(), written.replicas.end(),
                           [&](const replica& it)
                           { return it.model == model; });
    }

    document written;
    std::vector<order_action> orders;

private:
    placement_machine m_machine;
    std::uint64_t m_ticket = 0;
};

// Guards against a load order that the next owner does not know of. The server
// restarts while an adapter's load order is in flight, so the base and the
// adapter are both marked for unloading; then the owner changes. The next owner
// must still expect the order to arrive. Found by randomised runs with the seed
// offsets 338709, 501552 and others.
TEST(placement_adoption,
     a_load_in_flight_stays_in_the_document_when_it_is_undone)
{
    owner first({}, 1, start);
    first.send_wake(base, start);
    // A new owner starts without load budget.
    first.tick(start + milliseconds(900));
    ASSERT_EQ(first.orders.size(), 1U);
    first.answer(first.orders[0], order_result::done, start + seconds(1));
    first.send_wake(adapter, start + seconds(1));
    ASSERT_EQ(first.orders.size(), 2U);
    ASSERT_EQ(first.orders[1].target.model, adapter);
    // The order is unanswered when the server reports the loss of the base.
    first.report({}, start + seconds(4));
    const time_point taken_over = start + seconds(5);

    owner second(first.written, 2, taken_over);
    second.tick(taken_over + seconds(1));
    ASSERT_FALSE(second.orders.empty());
    ASSERT_EQ(second.orders[0].kind, order_kind::unload);
    ASSERT_EQ(second.orders[0].target.model, adapter);
    second.answer(second.orders[0], order_result::done,
                  taken_over + seconds(1));
    EXPECT_TRUE(second.is_written(adapter));
    // After its lifetime the order can no longer arrive.
    const time_point late =
        start + seconds(1) + placement_timing{}.order_lifetime + seconds(2);
    second.tick(late);
    const auto last = std::find_if(second.orders.rbegin(), second.orders.rend(),
                                   [](const order_action& it)
                                   { return it.target.model == adapter; });
    second.answer(*last, order_result::done, late);
    EXPECT_FALSE(second.is_written(adapter));
}

// Guards against orders sent before the new owner's first write. A delayed
// write of the former owner could then replace the document after the new owner
// had sent a load order, so that the document listed the replica as unloading
// without an order in flight. Found by randomised runs with the seed offset
// 716513.
TEST(placement_adoption, nothing_is_ordered_before_the_new_owner_has_written)
{
    const document adopted =
        document_with(replica_state::loading, milliseconds(0));
    placement_machine machine(load_limits{}, placement_timing{});
    machine.on_items(items());
    machine.on_servers(servers(), start);
    const action_list first =
        machine.on_adopted(adopted, epoch_number(2), start);
    EXPECT_TRUE(pick<order_action>(first).empty());
    const auto commits = pick<commit_action>(first);
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_TRUE(
        pick<order_action>(machine.on_tick(start + seconds(1))).empty());
    const auto then =
        machine.on_committed(commits.front().sequence, start + seconds(1));
    EXPECT_EQ(pick<order_action>(then).size(), 1U);
}

// Guards against memory that stays reserved indefinitely. Each owner waits for
// the remaining transit time given in the document; if it crashed before the
// end without having written the time left, the next owner started the same
// wait again. Found by randomised runs with the seed offset 713613.
TEST(placement_adoption, the_wait_for_a_late_order_ends_although_owners_change)
{
    document content = document_with(replica_state::unloading, seconds(10));
    time_point now = start;
    for (std::uint64_t epoch = 2; epoch < 9 && !content.replicas.empty();
         ++epoch)
    {
        owner next(content, epoch, now);
        for (int n = 0; n < 3'000; n += 20)
        {
            now += milliseconds(20);
            next.tick(now);
            if (!next.orders.empty())
            {
                next.answer(next.orders.back(), order_result::done, now);
                next.orders.clear();
            }
        }
        content = next.written;
    }
    EXPECT_TRUE(content.replicas.empty());
}

// Without a minimum residency, two models that are requested in turn and do not
// fit together would evict each other on every request.
TEST(placement_residency, a_model_is_not_evicted_right_after_its_last_use)
{
    owner it({}, 1, start);
    it.send_wake(base, start);
    it.tick(start + milliseconds(900));
    ASSERT_EQ(it.orders.size(), 1U);
    const time_point loaded = start + seconds(2);
    it.answer(it.orders[0], order_result::done, loaded);
    it.send_wake(other, loaded + milliseconds(1));
    const milliseconds stay = placement_timing{}.minimum_residency;
    it.tick(loaded + stay - milliseconds(1));
    EXPECT_EQ(it.orders.size(), 1U);
    it.tick(loaded + stay);
    ASSERT_EQ(it.orders.size(), 2U);
    EXPECT_EQ(it.orders[1].kind, order_kind::unload);
    EXPECT_EQ(it.orders[1].target.model, base);
}

} // namespace
} // namespace cicadahub::placement
