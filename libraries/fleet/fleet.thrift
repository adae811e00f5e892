// Messages between daemons: compact protocol, one frame each, with its length
// before it as four bytes in network order.
namespace cpp cicadahub.fleet.wire

/// Asks the owner of the placement shard for a replica of a model.
struct WakeRequest {
  1: string model
  /// Time that is left to the caller's deadline.
  2: i64 patience_us
}

struct WakeReply {
  /// A refusal by its name; empty if a replica is given.
  1: string refusal
  2: i64 retry_after_ms
  3: string server
  4: i64 generation
}

/// How much a daemon uses its models at this time.
struct ModelUse {
  1: string model
  2: i32 in_use
}

struct UsageNotice {
  1: string sender
  2: list<ModelUse> uses
}

/// One configuration object, newer than the receiver may know.
struct ConfigurationNotice {
  1: string name
  2: i64 version
  3: string spec
}

/// Asks for every configuration object newer than a version.
struct ConfigurationRequest {
  1: i64 newer_than
}

struct ConfigurationReply {
  1: list<ConfigurationNotice> objects
  2: i64 version
}

/// What is left of a grant, given back before its end.
struct ReturnedGrant {
  1: i64 number
  2: i64 epoch
  3: i64 tokens
}

/// Asks the owner of an organisation's rate for an allowance.
struct AllowanceRequest {
  1: string organisation
  2: i64 wanted_tokens
  3: list<ReturnedGrant> returned
}

struct AllowanceReply {
  1: i64 granted_tokens
  2: i64 epoch
  3: i64 retry_after_ms
  /// False if the receiver does not own the rate.
  4: bool is_owner
  5: i64 number
}

enum IntentStatus {
  NOT_OWNER = 0
  MAY_DISPATCH = 1
  RUNNING = 2
  ANSWERED = 3
  OUTCOME_UNKNOWN = 4
  OTHER_REQUEST = 5
  NOT_WRITTEN = 6
}

/// Asks for the leave to dispatch a request that must run at most once.
struct IntentRequest {
  1: string key
  2: string fingerprint
  /// The one attempt that may dispatch; asked again after a lost reply, it
  /// gets the same leave.
  3: string attempt
}

struct SavedAnswer {
  1: i32 status
  2: string content_type
  3: string body
}

struct IntentReply {
  1: IntentStatus status
  2: optional SavedAnswer answer
}

/// Tells how a dispatched request ended.
struct OutcomeRequest {
  1: string key
  2: string fingerprint
  /// Missing if the outcome is not known.
  3: optional SavedAnswer answer
  /// True if no byte of the request has gone out.
  4: bool is_not_run
  5: string attempt
}

struct OutcomeReply {
  1: bool is_written
}

/// A request, by its fingerprint, was running on a server that died.
struct SuspectNotice {
  1: string fingerprint
  2: i32 crashes
}

struct Acknowledgement {
}

union Body {
  1: WakeRequest wake_request
  2: WakeReply wake_reply
  3: UsageNotice usage_notice
  4: ConfigurationNotice configuration_notice
  5: ConfigurationRequest configuration_request
  6: ConfigurationReply configuration_reply
  7: AllowanceRequest allowance_request
  8: AllowanceReply allowance_reply
  9: IntentRequest intent_request
  10: IntentReply intent_reply
  11: OutcomeRequest outcome_request
  12: OutcomeReply outcome_reply
  13: SuspectNotice suspect_notice
  14: Acknowledgement acknowledgement
}

struct Frame {
  /// Pairs a reply with its request; chosen by the sender of the request.
  1: i64 exchange
  2: bool is_reply
  3: Body body
}
