#pragma once

#include "daemon/collection_follower.hpp"
#include "daemon/member_directory.hpp"
#include "decision/once/intent_ledger.hpp"
#include "decision/ownership/shard_lease.hpp"
#include "decision/placement/placement_machine.hpp"
#include "decision/quota/types.hpp"
#include "platform/store.hpp"
#include "settings/daemon_settings.hpp"

namespace cicadahub::daemon
{

// Converts the daemon's settings to the parameters of each part of the control
// plane.

platform::client_timing timing_of(const settings::daemon_settings& it);
/// Watches without a pause in between.
collection_follower::pace_handler
watch_pace_of(const settings::daemon_settings& it);
member self_of(const settings::daemon_settings& it);
placement::load_limits limits_of(const settings::daemon_settings& it);
placement::placement_timing
placement_timing_of(const settings::daemon_settings& it);
ownership::lease_timing lease_timing_of(const settings::daemon_settings& it);
ownership::lease_timing slot_timing_of(const settings::daemon_settings& it);
quota::quota_timing quota_timing_of(const settings::daemon_settings& it);
once::ledger_timing ledger_timing_of(const settings::daemon_settings& it);

} // namespace cicadahub::daemon
