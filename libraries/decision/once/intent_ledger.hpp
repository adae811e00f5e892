#pragma once

#include "decision/once/types.hpp"

namespace cicadahub::once
{

struct ledger_timing
{
    /// Time after which an intent without an outcome is marked
    /// `outcome_unknown`.
    milliseconds running_limit{60'000};
    /// Retention of an intent and its answer.
    milliseconds kept_for{86'400'000};
};

/// Grants permission to dispatch requests that must run at most once. Run by
/// the owner of a range of keys. Permission is granted to a single attempt, and
/// only after the write of the intent is confirmed; many intents share one
/// write.
class intent_ledger
{
public:
    explicit intent_ledger(ledger_timing timing) : m_timing(timing) {}

    action_list on_adopted(const ledger_document& content, epoch_number epoch,
                           time_point now);
    /// The shard was lost: unanswered requests get `not_written`.
    action_list on_lost();

    action_list on_dispatch_request(std::uint64_t ticket, const intent_key& key,
                                    const fingerprint& request,
                                    const attempt_id& attempt, time_point now);

    /// Records the end of an attempt: with an answer, without having run
    /// (`is_not_run`), or with an unknown outcome.
    action_list on_outcome(const intent_key& key, const attempt_id& attempt,
                           std::optional<saved_answer> answer, bool is_not_run,
                           time_point now);

    action_list on_committed(std::uint64_t sequence, time_point now);
    action_list on_tick(time_point now);

    bool is_owner() const { return m_is_owner; }
    std::size_t size() const { return m_entries.size(); }

private:
    struct pending_request
    {
        std::uint64_t ticket;
        attempt_id attempt;
    };

    struct entry
    {
        intent record;
        bool is_written = false;
        time_point opened_at{};
        time_point expires_at{};
        /// Requests that wait for the write of the intent.
        std::vector<pending_request> waiting;
    };

    dispatch_decision verdict_for(const entry& it,
                                  const attempt_id& attempt) const;
    void write_if_due(time_point now, action_list& actions);
    void expire_running(time_point now);
    void drop_expired(time_point now);

    ledger_timing m_timing;
    bool m_is_owner = false;
    epoch_number m_epoch;
    std::map<intent_key, entry> m_entries;
    bool m_is_dirty = false;
    std::uint64_t m_sequence = 0;
    std::optional<std::uint64_t> m_write_in_flight;
    std::vector<intent_key> m_keys_in_write;
};

} // namespace cicadahub::once
