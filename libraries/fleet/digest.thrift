// What each daemon tells the others by datagram, again and again, so that a lost
// datagram needs no repair. Compact protocol. Wants, usage and the models of the
// work go to the holder of the placement lease only.
namespace cpp cicadahub.fleet.wire

struct WantedCopy {
  1: string model
  2: string adapter
  3: i32 waiting
  4: i32 slack_ms
}

struct CopyUsage {
  1: string model
  /// Empty for the model as a whole.
  2: string adapter
  3: double requests_per_second
}

struct ServerWork {
  1: string server
  2: i32 running
  /// Running requests by model; empty for a plain service and in what the
  /// holder of the placement lease tells, which is the sum over all daemons.
  3: map<string, i32> models
}

struct HeldModels {
  1: string server
  2: i64 incarnation
  3: map<string, list<string>> models
  /// Model that is being loaded, and the time until it is there.
  4: string loading
  5: i32 loading_ms
}

struct OrganisationDemand {
  1: string organisation
  2: double per_second
  /// Tokens that the sender has spent since its start.
  3: i64 spent
}

struct CrashNotice {
  1: string fingerprint
  2: i32 crashes
}

struct Digest {
  1: string sender
  2: i64 incarnation
  3: i64 number
  4: string data_centre
  /// Newest version of the configuration that the sender has.
  5: i64 configuration_version
  /// Version of the last change of which servers there are and serve.
  6: i64 servers_changed_version
  7: list<WantedCopy> wants
  8: list<CopyUsage> usage
  9: optional list<ServerWork> work
  10: list<OrganisationDemand> demand
  11: list<CrashNotice> crashes
  /// Fleet addresses of the daemons that the sender hears.
  12: list<string> peers
  /// Set by the holder of the placement lease.
  13: optional i64 placement_epoch
  14: optional i64 lease_version
  15: list<HeldModels> holdings
  16: bool is_leaving
  /// Carries only wants, crashes, holdings and, for the holder, work; the rest
  /// stays as it was told.
  17: bool is_update
  /// The platform's store answers the sender.
  18: bool reaches_store
  /// Part of a processor core that the sender's host has.
  19: double processor_share
}
