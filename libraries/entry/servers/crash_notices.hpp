#pragma once

#include "core/units.hpp"
#include "decision/suspicion/crash_attribution.hpp"
#include "digest_types.h"
#include "entry/fleet/fleet_view.hpp"
#include "serving/request.hpp"

namespace cicadahub::entry
{

/// Hashes of the parts of a prompt that other requests may share: all but the
/// last.
std::vector<suspicion::part_fingerprint>
shared_parts_of(const std::vector<serving::prompt_part>& prompt);

/// Adds what this host knows of requests that crash servers to a digest:
/// crashes and clearings since `since`, and in full digests all refused ones,
/// so that hosts that start learn of them.
void add_crash_notices(fleet::wire::Digest& to,
                       const suspicion::suspect_table& from, time_point since,
                       time_point now);

/// The same for parts of prompts; all refused ones in each digest.
void add_crash_notices(fleet::wire::Digest& to,
                       suspicion::crash_attribution& from, time_point since,
                       time_point now);

/// Adds all crashes that this host knows, whoever saw them, for a host that has
/// just started.
void add_known_crashes(fleet::wire::Digest& to,
                       const suspicion::suspect_table& requests,
                       const suspicion::crash_attribution& parts,
                       time_point now);

/// Takes in what the digest of a peer says of such requests and parts, and logs
/// what is suspected or refused from now on or no longer.
void apply_crash_notices(const peer& from, suspicion::suspect_table& requests,
                         suspicion::crash_attribution& parts);

} // namespace cicadahub::entry
