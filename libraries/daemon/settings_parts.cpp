#include "daemon/settings_parts.hpp"

#include "core/digest.hpp"
#include "http/types.hpp"

namespace cicadahub::daemon
{

namespace
{

constexpr std::size_t incarnation_bytes = 4;

/// Renewals of a slot's lease within its duration.
constexpr int slot_renewals = 10;

} // namespace

platform::client_timing timing_of(const settings::daemon_settings& it)
{
    platform::client_timing timing;
    timing.call_timeout = it.platform_call_timeout;
    return timing;
}

collection_follower::pace_handler
watch_pace_of(const settings::daemon_settings& it)
{
    return [wait = it.platform_watch_timeout]
    {
        return follow_pace{wait, {}};
    };
}

member self_of(const settings::daemon_settings& it)
{
    member self;
    self.id = daemon_id(it.daemon_name + "." + random_hex(incarnation_bytes));
    self.fleet_address = http::parse_endpoint(it.fleet_address);
    self.operators_address = http::parse_endpoint(it.operators_address);
    self.data_centre = data_centre_id(it.data_centre);
    return self;
}

placement::load_limits limits_of(const settings::daemon_settings& it)
{
    placement::load_limits limits;
    limits.models_per_second = it.model_loads_per_second;
    limits.models_in_flight =
        static_cast<std::uint32_t>(it.model_loads_in_flight);
    limits.adapters_in_flight =
        static_cast<std::uint32_t>(it.adapter_loads_in_flight);
    return limits;
}

placement::placement_timing
placement_timing_of(const settings::daemon_settings& it)
{
    placement::placement_timing timing;
    timing.order_lifetime = it.order_lifetime;
    return timing;
}

ownership::lease_timing lease_timing_of(const settings::daemon_settings& it)
{
    return {it.lease_duration, it.lease_renewal, it.lease_margin};
}

ownership::lease_timing slot_timing_of(const settings::daemon_settings& it)
{
    return {it.quota_slot_lease, it.quota_slot_lease / slot_renewals,
            it.lease_margin};
}

quota::quota_timing quota_timing_of(const settings::daemon_settings& it)
{
    quota::quota_timing timing;
    timing.grant_lifetime = it.lease_margin * 9 / 10;
    timing.slots = static_cast<std::uint32_t>(it.quota_slots);
    return timing;
}

once::ledger_timing ledger_timing_of(const settings::daemon_settings& it)
{
    once::ledger_timing timing;
    timing.kept_for = it.once_kept_for;
    return timing;
}

} // namespace cicadahub::daemon
