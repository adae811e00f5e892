#include "decision/once/intent_ledger.hpp"

#include "core/refusal.hpp"
#include "simulation.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace cicadahub::once
{
namespace
{

struct once_case
{
    const char* name;
    std::uint64_t seed;
    double lost_messages;
    double dying_daemons;
    double not_run;
    milliseconds owner_change;

    friend void PrintTo(const once_case& it, std::ostream* out)
    {
        *out << it.name;
    }
};

/// Simulates callers that repeat keyed requests through any daemon, and a
/// sequence of owners. The reference model is a single map that counts the runs
/// of each key; no key may run twice.
class once_run
{
public:
    explicit once_run(const once_case& it) : simulation(it.seed), m_case(it)
    {
        take_over();
        tick();
        arrive();
        if (it.owner_change.count() > 0)
        {
            schedule_change();
        }
    }

    fakes::simulation simulation;
    std::uint64_t ran = 0;
    std::uint64_t repeats_answered = 0;
    std::uint64_t writes = 0;
    std::uint64_t dispatch_requests = 0;

private:
    void arrive()
    {
        simulation.after(
            microseconds(simulation.pick(100, 4'000)),
            [this]
            {
                // Half of the requests have a new key, the others a recent one.
                const bool is_new = m_last_key == 0 || simulation.happens(0.5);
                const std::int64_t key =
                    is_new ? ++m_last_key
                           : simulation.pick(
                                 std::max<std::int64_t>(1, m_last_key - 50),
                                 m_last_key);
                request_dispatch(intent_key(std::to_string(key)),
                                 attempt_id(std::to_string(++m_last_attempt)),
                                 3);
                arrive();
            });
    }

    /// One daemon's attempt; it repeats its request after a lost reply.
    void request_dispatch(intent_key key, attempt_id attempt, int tries)
    {
        if (tries == 0)
        {
            return;
        }
        ++dispatch_requests;
        const std::uint64_t ticket = ++m_last_ticket;
        auto is_answered = std::make_shared<bool>(false);
        m_replies[ticket] = [=, this](dispatch_decision result)
        {
            if (std::exchange(*is_answered, true))
            {
                return;
            }
            if (simulation.happens(m_case.lost_messages))
            {
                simulation.after(
                    milliseconds(200),
                    [=, this] { request_dispatch(key, attempt, tries - 1); });
                return;
            }
            simulation.after(microseconds(simulation.pick(100, 2'000)),
                             [=, this]
                             { on_dispatch_decision(key, attempt, result); });
        };
        simulation.after(microseconds(simulation.pick(100, 2'000)),
                         [=, this]
                         {
                             if (m_owner)
                             {
                                 perform(m_owner->on_dispatch_request(
                                     ticket, key,
                                     fingerprint("f" + key.value()), attempt,
                                     simulation.now()));
                             }
                         });
        simulation.after(milliseconds(800),
                         [=, this]
                         {
                             if (!std::exchange(*is_answered, true))
                             {
                                 request_dispatch(key, attempt, tries - 1);
                             }
                         });
    }

    void on_dispatch_decision(const intent_key& key, const attempt_id& attempt,
                              const dispatch_decision& result)
    {
        repeats_answered += result.verdict == dispatch_verdict::answered;
        if (result.verdict == dispatch_verdict::answered)
        {
            ASSERT_EQ(result.answer->body, "answer to " + key.value());
        }
        if (result.verdict != dispatch_verdict::may_dispatch)
        {
            return;
        }
        if (simulation.happens(m_case.dying_daemons))
        {
            return;
        }
        const bool is_not_run = simulation.happens(m_case.not_run);
        if (!is_not_run)
        {
            ASSERT_EQ(++m_runs[key], 1) << "ran twice: " << key;
            ++ran;
        }
        if (simulation.happens(m_case.dying_daemons))
        {
            return;
        }
        simulation.after(simulation.pick_ms(1, 50),
                         [=, this] { send_outcome(key, attempt, is_not_run); });
    }

    void send_outcome(const intent_key& key, const attempt_id& attempt,
                      bool is_not_run)
    {
        if (!m_owner || simulation.happens(m_case.lost_messages))
        {
            return;
        }
        std::optional<saved_answer> answer;
        if (!is_not_run && !simulation.happens(0.1))
        {
            answer = saved_answer{200, "text", "answer to " + key.value()};
        }
        perform(m_owner->on_outcome(key, attempt, answer, is_not_run,
                                    simulation.now()));
    }

    void take_over()
    {
        m_owner = std::make_unique<intent_ledger>(ledger_timing{});
        ++m_epoch;
        perform(m_owner->on_adopted(m_written, epoch_number(m_epoch),
                                    simulation.now()));
    }

    void schedule_change()
    {
        const std::int64_t mean = m_case.owner_change.count();
        simulation.after(simulation.pick_ms(mean / 2, mean * 3 / 2),
                         [this]
                         {
                             perform(m_owner->on_lost());
                             m_owner.reset();
                             simulation.after(simulation.pick_ms(10, 1'000),
                                              [this]
                                              {
                                                  take_over();
                                                  schedule_change();
                                              });
                         });
    }

    void tick()
    {
        if (m_owner)
        {
            perform(m_owner->on_tick(simulation.now()));
        }
        simulation.after(milliseconds(100), [this] { tick(); });
    }

    void perform(const action_list& actions)
    {
        for (const action& it : actions)
        {
            std::visit([this](const auto& a) { perform(a); }, it);
        }
    }

    void perform(const write_action& it)
    {
        ++writes;
        const std::uint64_t expected = m_version;
        const auto arrival = simulation.pick_ms(1, 8);
        simulation.after(arrival,
                         [this, it, expected, epoch = m_epoch]
                         {
                             if (expected != m_version)
                             {
                                 return;
                             }
                             ++m_version;
                             m_written = it.content;
                             simulation.after(
                                 simulation.pick_ms(1, 8),
                                 [this, it, epoch]
                                 {
                                     if (m_owner && epoch == m_epoch)
                                     {
                                         perform(m_owner->on_committed(
                                             it.sequence, simulation.now()));
                                     }
                                 });
                         });
    }

    void perform(const reply_action& it)
    {
        const auto at = m_replies.find(it.ticket);
        ASSERT_NE(at, m_replies.end());
        auto reply = std::move(at->second);
        m_replies.erase(at);
        reply(it.result);
    }

    once_case m_case;
    std::unique_ptr<intent_ledger> m_owner;
    std::uint64_t m_epoch = 0;
    ledger_document m_written;
    std::uint64_t m_version = 0;
    std::int64_t m_last_key = 0;
    std::int64_t m_last_attempt = 0;
    std::uint64_t m_last_ticket = 0;
    std::map<std::uint64_t, std::function<void(dispatch_decision)>> m_replies;
    std::map<intent_key, int> m_runs;
};

class once_runs : public testing::TestWithParam<once_case>
{
};

TEST_P(once_runs, run_each_keyed_request_at_most_once)
{
    once_run run(GetParam());
    run.simulation.run_until(time_point(seconds(12)));
    EXPECT_GT(run.ran, 1'000u);
    EXPECT_GT(run.repeats_answered, 500u);
    EXPECT_LT(run.writes * 3, run.dispatch_requests);
    std::cout << "ran " << run.ran << " repeats answered "
              << run.repeats_answered << " questions " << run.dispatch_requests
              << " writes " << run.writes << " steps " << run.simulation.steps()
              << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    table, once_runs,
    testing::Values(
        once_case{"calm", 1, 0, 0, 0, milliseconds(0)},
        once_case{"lost_messages", 2, 0.2, 0, 0, milliseconds(0)},
        once_case{"dying_daemons", 3, 0, 0.1, 0, milliseconds(0)},
        once_case{"not_run", 4, 0, 0, 0.2, milliseconds(0)},
        once_case{"owner_changes", 5, 0, 0, 0, milliseconds(1'500)},
        once_case{"everything", 6, 0.1, 0.05, 0.1, milliseconds(2'500)},
        once_case{"everything_again", 7, 0.2, 0.1, 0.2, milliseconds(2'000)}),
    [](const auto& it) { return it.param.name; });

class saved_statuses : public testing::TestWithParam<unsigned>
{
};

// Guards against a stored answer whose status promises that the request was not
// executed: the attempt that saved it had dispatched the request.
TEST_P(saved_statuses, make_no_promise)
{
    const time_point now{};
    const intent_key key("k");
    const fingerprint request("f");
    ledger_document stored;
    intent& it = stored.intents[key];
    it.request = request;
    it.attempt = attempt_id("first");
    it.state = intent_state::answered;
    it.answer = saved_answer{GetParam(), "application/json", "{}"};
    it.kept_for = milliseconds(60'000);
    intent_ledger ledger(ledger_timing{});
    ledger.on_adopted(stored, epoch_number(1), now);
    const action_list actions =
        ledger.on_dispatch_request(1, key, request, attempt_id("second"), now);
    ASSERT_EQ(actions.size(), 1U);
    const auto* reply = std::get_if<reply_action>(&actions.front());
    ASSERT_NE(reply, nullptr);
    EXPECT_EQ(reply->result.verdict, promises_not_run(GetParam())
                                         ? dispatch_verdict::outcome_unknown
                                         : dispatch_verdict::answered);
}

INSTANTIATE_TEST_SUITE_P(once, saved_statuses,
                         testing::Values(200U, 404U, 408U, 421U, 429U, 500U,
                                         503U));

} // namespace
} // namespace cicadahub::once
