#pragma once

#include "daemon/shard_client.hpp"
#include "decision/once/intent_ledger.hpp"

namespace cicadahub::daemon
{

/// Server and client side of requests that must run at most once: keeps the
/// ledger while this daemon holds its shard, and sends this daemon's intents
/// and outcomes to the holder of the shard.
class idempotency_service
{
public:
    idempotency_service(net::io_context& context, platform::store& store,
                        const shard_elector& shard, const shard_client& client,
                        once::ledger_timing timing);

    void on_won(epoch_number epoch);
    void on_lost();

    net::awaitable<fleet::wire::Body>
    on_intent_request(fleet::wire::IntentRequest request);
    fleet::wire::Body
    on_outcome_request(const fleet::wire::OutcomeRequest& request);

    /// Requests permission to dispatch; retries until the deadline.
    net::awaitable<once::dispatch_decision>
    request_dispatch(once::intent_key key, once::fingerprint request,
                     once::attempt_id attempt, time_point deadline);

    /// Reports the outcome of an attempt to the ledger, with a bounded number
    /// of retries.
    net::awaitable<void>
    report_outcome(once::intent_key key, once::attempt_id attempt,
                   std::optional<once::saved_answer> answer, bool is_not_run);

private:
    struct pending_intent
    {
        explicit pending_intent(net::io_context& context) : timer(context) {}

        net::steady_timer timer;
        std::optional<once::dispatch_decision> result;
    };

    net::awaitable<void> adopt();
    net::awaitable<void> tick_loop(epoch_number epoch);
    net::awaitable<void> write(once::write_action it);
    void execute(const once::action_list& actions);
    void execute(const once::write_action& it);
    void execute(const once::reply_action& it);
    bool is_current(epoch_number epoch) const;

    net::io_context& m_context;
    platform::store& m_store;
    const shard_elector& m_shard;
    const shard_client& m_shard_client;
    once::intent_ledger m_ledger;
    epoch_number m_epoch;
    platform::stored_object m_stored;
    std::uint64_t m_next_ticket = 1;
    std::map<std::uint64_t, std::shared_ptr<pending_intent>> m_pending_intents;
};

} // namespace cicadahub::daemon
