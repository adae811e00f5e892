// Messages between daemons: compact protocol, one frame per message, preceded by
// its length as four bytes in network byte order.
namespace cpp cicadahub.fleet.wire

/// Asks the owner of the placement shard for a replica of a model.
struct WakeRequest {
  1: string model
  /// Time left until the caller's deadline, less an allowance for the reply.
  2: i64 patience_us
}

struct WakeReply {
  /// Name of the refusal; empty if a replica was found.
  1: string refusal
  2: i64 retry_after_ms
  3: string server
  4: i64 generation
}

/// Number of requests in flight for one model at one daemon.
struct ModelUse {
  1: string model
  2: i32 in_use
}

struct UsageNotice {
  1: string sender
  2: list<ModelUse> uses
}

/// One configuration object; the receiver may have an older version of it.
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

/// Unspent tokens of a grant, returned to the owner before the grant expires.
struct ReturnedGrant {
  1: i64 number
  2: i64 epoch
  3: i64 tokens
}

/// Asks the owner of an organisation's rate limit for a grant of tokens.
struct AllowanceRequest {
  1: string organisation
  2: i64 wanted_tokens
  3: list<ReturnedGrant> returned
}

struct AllowanceReply {
  1: i64 granted_tokens
  2: i64 epoch
  3: i64 retry_after_ms
  /// False if the receiver does not own the rate limit; the rest is then unset.
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

/// Asks for permission to dispatch a request that must run at most once.
struct IntentRequest {
  1: string key
  2: string fingerprint
  /// Identifies the attempt to dispatch. Permission is given to one attempt
  /// only; the same attempt gets it again when it repeats a lost request.
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

/// Reports the outcome of a dispatched request.
struct OutcomeRequest {
  1: string key
  2: string fingerprint
  /// Missing if the request did not run, its outcome is unknown, or the answer
  /// is too long to be saved.
  3: optional SavedAnswer answer
  /// True if no byte of the request was sent to a backend server.
  4: bool is_not_run
  5: string attempt
}

struct OutcomeReply {
  1: bool is_written
}

/// Reports that a request, identified by its fingerprint, was running on a
/// server that crashed.
struct SuspectNotice {
  1: string fingerprint
  2: i32 crashes
}

/// Reply without content; sent as a request it is the heartbeat.
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
  /// Matches a reply to its request; chosen by the sender of the request. Zero
  /// for a notice, which gets no reply.
  1: i64 exchange
  2: bool is_reply
  3: Body body
}
