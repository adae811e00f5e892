#include "decision/admission/fair_queue.hpp"
#include "simulation.hpp"

#include <gtest/gtest.h>

namespace cicadahub::admission
{
namespace
{

time_point at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

waiting_request make(std::uint64_t ticket, const char* organisation,
                     std::int64_t deadline_ms, std::int64_t cost = 100)
{
    return {ticket, organisation_id(organisation), at(deadline_ms), 10, cost};
}

TEST(fair_queue, is_bounded_in_requests_and_bytes)
{
    fair_queue queue({4, 25});
    EXPECT_FALSE(queue.add(make(1, "a", 1'000), at(0)));
    EXPECT_FALSE(queue.add(make(2, "b", 1'000), at(0)));
    const auto refused = queue.add(make(3, "c", 1'000), at(0));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->kind, refusal_kind::queue_full);
    EXPECT_TRUE(refused->is_not_run);
    EXPECT_GT(refused->retry_after.count(), 0);
}

TEST(fair_queue, refuses_at_once_what_cannot_be_served_in_time)
{
    fair_queue queue({});
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        queue.add(make(n, "a", 100'000), at(0));
    }
    for (int n = 0; n < 10; ++n)
    {
        queue.take(at(100 * n));
    }
    // Ten requests wait, and about one leaves every 100 ms.
    const auto refused = queue.add(make(99, "a", 1'000), at(900));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->kind, refusal_kind::target_unreachable);
    EXPECT_FALSE(queue.add(make(98, "a", 60'000), at(900)));
}

TEST(fair_queue, the_earliest_deadline_of_an_organisation_goes_first)
{
    fair_queue queue({});
    queue.add(make(1, "a", 9'000), at(0));
    queue.add(make(2, "a", 5'000), at(0));
    queue.add(make(3, "a", 7'000), at(0));
    for (const std::uint64_t ticket : {2U, 3U, 1U})
    {
        const auto next = queue.take(at(1));
        ASSERT_TRUE(next);
        EXPECT_EQ(next->ticket, ticket);
    }
}

// Guards against a queue in which an organisation that sends five times as many
// requests delays those of another that stays within its share.
TEST(fair_queue, a_heavy_organisation_does_not_slow_a_light_one)
{
    fakes::simulation simulation(1);
    fair_queue queue({200, 1'000'000});
    std::map<std::string, int> served;
    std::uint64_t ticket = 0;
    // Capacity: one request every 10 ms. "small" sends 45 requests a second,
    // "large" 250.
    const std::function<void(const char*, std::int64_t)> send =
        [&](const char* organisation, std::int64_t gap_us)
    {
        waiting_request it = make(++ticket, organisation, 0);
        it.deadline = simulation.now() + milliseconds(2'000);
        queue.add(it, simulation.now());
        simulation.after(microseconds(gap_us), [&, organisation, gap_us]
                         { send(organisation, gap_us); });
    };
    const std::function<void()> serve = [&]
    {
        queue.take_expired(simulation.now());
        if (const auto it = queue.take(simulation.now()))
        {
            ++served[it->organisation.value()];
        }
        simulation.after(milliseconds(10), serve);
    };
    send("small", 22'222);
    send("large", 4'000);
    serve();
    simulation.run_until(at(60'000));
    EXPECT_GE(served["small"], 0.95 * 45 * 60);
    EXPECT_GE(served["large"], 0.9 * 55 * 60);
}

class fair_queue_runs : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(fair_queue_runs, each_request_leaves_once_and_before_its_deadline)
{
    fakes::simulation simulation(GetParam());
    fair_queue queue({50, 2'000});
    std::map<std::uint64_t, time_point> inside;
    std::uint64_t ticket = 0;
    for (int step = 0; step < 30'000; ++step)
    {
        simulation.run_until(simulation.now() +
                             milliseconds(simulation.pick(0, 5)));
        for (const waiting_request& it : queue.take_expired(simulation.now()))
        {
            ASSERT_EQ(inside.erase(it.ticket), 1u);
        }
        const auto choice = simulation.pick(0, 9);
        if (choice < 5)
        {
            waiting_request it =
                make(++ticket, "a", 0, simulation.pick(1, 2'000));
            it.organisation =
                organisation_id(std::to_string(simulation.pick(0, 5)));
            it.deadline =
                simulation.now() + milliseconds(simulation.pick(1, 400));
            it.bytes = simulation.pick(1, 100);
            if (!queue.add(it, simulation.now()))
            {
                inside.emplace(it.ticket, it.deadline);
            }
        }
        else if (choice < 8)
        {
            if (const auto it = queue.take(simulation.now()))
            {
                ASSERT_EQ(inside.erase(it->ticket), 1u);
                ASSERT_GT(it->deadline, simulation.now());
            }
        }
        else if (!inside.empty())
        {
            ASSERT_TRUE(queue.cancel(inside.begin()->first));
            inside.erase(inside.begin());
        }
        ASSERT_EQ(queue.size(), inside.size());
        ASSERT_LE(queue.size(), 50u);
        ASSERT_LE(queue.bytes(), 2'000);
    }
    EXPECT_GT(ticket, 10'000u);
}

INSTANTIATE_TEST_SUITE_P(seeds, fair_queue_runs,
                         testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace cicadahub::admission
