#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cicadahub::once
{

/// Organisation and idempotency key together.
using intent_key = strong_type<struct intent_key_tag, std::string>;

/// Hash of a request, used to detect a key that is reused for another request.
using fingerprint = strong_type<struct fingerprint_tag, std::string>;

/// Identifies one attempt to dispatch a request.
using attempt_id = strong_type<struct attempt_id_tag, std::string>;

/// An answer stored to be replayed for repeated requests.
struct saved_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;

    bool operator==(const saved_answer&) const = default;
};

enum class intent_state
{
    /// Persisted; the attempt may have dispatched the request.
    open,
    answered,
    /// The request may have been dispatched; its outcome cannot be determined.
    outcome_unknown,
};

/// A request that must run at most once, as stored in the ledger.
struct intent
{
    fingerprint request;
    attempt_id attempt;
    intent_state state = intent_state::open;
    std::optional<saved_answer> answer;
    /// Remaining retention, counted from the last write of the ledger.
    milliseconds kept_for{0};

    bool operator==(const intent&) const = default;
};

/// The part of the ledger that one shard holds.
struct ledger_document
{
    epoch_number epoch;
    std::map<intent_key, intent> intents;

    bool operator==(const ledger_document&) const = default;
};

enum class dispatch_verdict
{
    may_dispatch,
    /// Another attempt has the permission, and its outcome is still open.
    running,
    answered,
    outcome_unknown,
    /// The key was used for another request.
    other_request,
    /// The shard is not held, or was lost before the write of the intent was
    /// confirmed.
    not_written,
};

struct dispatch_decision
{
    dispatch_verdict verdict;
    std::optional<saved_answer> answer;
};

/// Persists the ledger; `on_committed` confirms the write.
struct write_action
{
    ledger_document content;
    std::uint64_t sequence;
};

/// Answers a request for permission to dispatch.
struct reply_action
{
    std::uint64_t ticket;
    dispatch_decision result;
};

using action = std::variant<write_action, reply_action>;
using action_list = std::vector<action>;

} // namespace cicadahub::once
