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

/// Hash of the request, by which a key that is used for another request is
/// found out.
using fingerprint = strong_type<struct fingerprint_tag, std::string>;

/// The one try that may dispatch a request.
using attempt_id = strong_type<struct attempt_id_tag, std::string>;

/// An answer as it is kept for repeats.
struct saved_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;

    bool operator==(const saved_answer&) const = default;
};

enum class intent_state
{
    /// Written; the attempt may have dispatched.
    open,
    answered,
    /// Dispatched, and its outcome cannot be found out.
    outcome_unknown,
};

/// One request that must run at most once, as it is written.
struct intent
{
    fingerprint request;
    attempt_id attempt;
    intent_state state = intent_state::open;
    std::optional<saved_answer> answer;
    /// Kept for this long after the ledger was last written.
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
    running,
    answered,
    outcome_unknown,
    other_request,
    /// The shard was lost before the intent was known to be written.
    not_written,
};

struct dispatch_decision
{
    dispatch_verdict verdict;
    std::optional<saved_answer> answer;
};

/// Writes the ledger; the answer comes by `on_committed`.
struct write_action
{
    ledger_document content;
    std::uint64_t sequence;
};

/// Answers a question for leave to dispatch.
struct reply_action
{
    std::uint64_t ticket;
    dispatch_decision result;
};

using action = std::variant<write_action, reply_action>;
using action_list = std::vector<action>;

} // namespace cicadahub::once
