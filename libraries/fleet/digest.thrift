// State that each daemon sends to the others periodically by datagram. A lost
// datagram is not retransmitted, since a later one replaces it. Compact protocol.
// `wants`, `usage` and the models of `work` are sent only to the holder of the
// placement lease.
namespace cpp cicadahub.fleet.wire

/// Pending demand for a model or an adapter that the sender's requests wait for.
struct WantedCopy {
  1: string model
  2: string adapter
  /// Number of waiting requests.
  3: i32 waiting
  /// Time left to the most urgent of them.
  4: i32 slack_ms
  /// Set for streams that go on only at servers of this software version.
  5: optional string version
  /// Regions in which the copy is of use, one a line; absent if all are.
  6: optional string allowed_regions
}

/// Request rate of a model or of one of its adapters.
struct CopyUsage {
  1: string model
  /// Empty if the rate is that of the model, which includes its adapters.
  2: string adapter
  3: double requests_per_second
}

/// Requests in flight on one backend server from the sender. In its periodic
/// digests the holder of the placement lease adds entries with the sum over all
/// daemons.
struct ServerWork {
  1: string server
  2: i32 running
  /// Requests in flight by model; set only in digests to the holder of the
  /// placement lease, and empty for a plain service.
  3: map<string, i32> models
  /// Prompt tokens of these requests that the server has not read yet; absent
  /// if there are none, or if the sender does not count them.
  4: optional i64 unread_tokens
}

/// Models and adapters loaded on one server by order of the placement lease's
/// holder.
struct HeldModels {
  1: string server
  2: i64 incarnation
  3: map<string, list<string>> models
  /// Model that is being loaded, and the estimated time until the load ends.
  4: string loading
  5: i32 loading_ms
}

/// Demand of an organisation at the sender, in tokens per second.
struct OrganisationDemand {
  1: string organisation
  2: double per_second
  /// Tokens that the organisation has spent at the sender since its start.
  3: i64 spent
}

/// Number of server crashes attributed to a request, by its fingerprint; 0 if
/// an answer to it completed.
struct CrashNotice {
  1: string fingerprint
  2: i32 crashes
  /// Time since the last crash, or since the answer began; absent if the sender
  /// tells only of what it has seen in the last seconds.
  3: optional i32 age_ms
  /// Times that it was sent although it is refused, to find out whether it is
  /// sound.
  4: i32 trials
}

/// A request of the sender that was in flight on a server when it crashed.
struct CrashedRequest {
  /// Hash of the request.
  1: string request
  /// Time from the sending to the crash.
  2: i32 sent_before_ms
  /// Hashes of the parts of its prompt that other requests may share.
  3: list<string> parts
}

/// A crash that the sender has seen, with its own requests on that server.
struct CrashedServer {
  1: string server
  2: i64 incarnation
  /// Time since the crash.
  3: i32 age_ms
  4: list<CrashedRequest> requests
}

/// A part of prompts by its hash.
struct PromptPart {
  1: string part
  /// Time since its last crash, or since the complete answer that clears it
  /// began.
  2: i32 age_ms
  /// Requests admitted to find out whether a refused part is sound again.
  3: i32 trials
}

/// What a server said of the requests that it takes from all hosts together.
struct LimitedServer {
  1: string server
  2: i64 incarnation
  /// Absent if the server no longer names a limit.
  3: optional double requests_per_second
  /// Time since the answer that said so.
  4: i32 age_ms
  /// Host to which the sender lends its part of the rate, if it lends it to
  /// another one and goes on doing so.
  5: optional string lent_to
  6: i64 lent_to_incarnation
  /// `sent_at_ms` of the digest of that host from which the loan counts.
  7: i64 lent_from_ms
  /// Part of the rate that the sender owns, from 0 to 1.
  8: double own_part
  /// Part of the rate that the sender may use, lent by others and its own.
  9: double usable_part
  /// Time for which the server is cold, as the sender knows it from the server,
  /// its entry or its start, and not from another host; absent if it is not
  /// cold, or the sender does not know.
  10: optional i32 cold_left_ms
}

/// A server that said in a response that it leaves.
struct LeavingServer {
  1: string server
  2: i64 incarnation
}

/// A stream whose first event a caller has got, so that it goes on only at
/// servers of the same service and software version.
struct BegunStream {
  /// Hash of the request that brought the first event, its organisation and its
  /// path; at hosts that do not set `names_streams_by_path`, its route.
  1: string key
  /// Empty if the sender does not know what began the stream.
  2: string service_name
  3: string version
  /// Time in which the caller may still take it up.
  4: i32 left_ms
}

struct Digest {
  1: string sender
  2: i64 incarnation
  3: i64 number
  4: string data_centre
  /// Newest version of the configuration that the sender has.
  5: i64 configuration_version
  /// Version of the last change to the set of servers, their addresses or
  /// whether they serve.
  6: i64 servers_changed_version
  7: list<WantedCopy> wants
  8: list<CopyUsage> usage
  9: optional list<ServerWork> work
  10: list<OrganisationDemand> demand
  11: list<CrashNotice> crashes
  /// Fleet addresses of daemons known to the sender, a few per digest in turn.
  12: list<string> peers
  /// Set by the holder of the placement lease.
  13: optional i64 placement_epoch
  14: optional i64 lease_version
  15: list<HeldModels> holdings
  16: bool is_leaving
  /// True if the digest is incremental: `usage`, `demand` and `peers` are
  /// omitted, and `work` too unless the receiver holds the placement lease.
  /// Their last values stay valid.
  17: bool is_update
  /// True if the platform's store answers the sender.
  18: bool reaches_store
  /// Processor cores available on the sender's host; may be a fraction.
  19: double processor_share
  /// Servers that the platform's list does not show as leaving yet; all that
  /// leave if `watches_store`.
  20: list<LeavingServer> leaving_servers
  /// True if the sender can open no connection to any backend server.
  21: bool is_cut_off
  /// Crashes of the last seconds.
  22: list<CrashedServer> crashed_servers
  /// Parts of prompts that crash servers; all that the sender refuses.
  23: list<PromptPart> refused_parts
  /// Parts that answers completed on within the last seconds, although servers
  /// had crashed while requests with them ran.
  24: list<PromptPart> cleared_parts
  /// Absent if the sender does not share out the limits of servers, so that
  /// requests for them can't be relayed through it.
  25: optional list<LimitedServer> limited_servers
  /// Streams that the receiver is to remember, or had asked for. Digests with
  /// these or the next have the number 0 and nothing else: receivers take them
  /// in any order, and no state from them.
  26: list<BegunStream> begun_streams
  /// Keys of streams that the sender does not know.
  27: list<string> asked_streams
  /// True if the sender watches the store on behalf of the others; it then
  /// sends something several times a second.
  28: bool watches_store
  /// Hosts that no longer report to the sender; set if `watches_store`.
  29: list<string> silent_hosts
  /// Time of the sender's clock at which it made the digest; absent if it does
  /// not lend and borrow the limits of servers.
  30: optional i64 sent_at_ms
  /// Hosts among which limits are parted, as the sender knows; 0 if it does not
  /// know yet. Omitted in updates.
  31: i32 hosts
  /// Newest version of the evacuations that the sender has; absent if it does
  /// not follow them.
  32: optional i64 evacuations_version
  /// Time since the sender's first list of servers, if there has been traffic;
  /// 0 if there has been none. Absent if it does not limit cold servers.
  33: optional i64 traffic_ms
  /// True if the sender looks for streams by the paths of their requests; false
  /// if it does so by the names of their routes. Omitted in updates.
  34: bool names_streams_by_path
  /// True if servers refuse all connections of the sender, which then asks the
  /// others whether they reach any.
  35: bool asks_for_contact
  /// Time since bytes from a server reached the sender; absent if it does not
  /// tell.
  36: optional i64 server_contact_age_ms
  /// True if the sender begins streams only at services and versions that the
  /// record of origins in the store has, or has just started.
  37: bool waits_for_record
}
