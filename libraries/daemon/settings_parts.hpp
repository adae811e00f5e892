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

// What each part of the control plane takes from the settings.

platform::client_timing timing_of(const settings::daemon_settings& it);
/// One watch after the other.
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
