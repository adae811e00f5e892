#include "core/event_log.hpp"

#include <array>

namespace cicadahub
{

namespace
{

#define CICADAHUB_ROW(event)                                                   \
    event_row                                                                  \
    {                                                                          \
        event_number::event, #event                                            \
    }

constexpr std::array event_rows{
    CICADAHUB_ROW(daemon_started),
    CICADAHUB_ROW(daemon_ready),
    CICADAHUB_ROW(drain_began),
    CICADAHUB_ROW(daemon_stopped),
    CICADAHUB_ROW(listen_failed),
    CICADAHUB_ROW(settings_reloaded),
    CICADAHUB_ROW(loop_delayed),
    CICADAHUB_ROW(loop_stalled),
    CICADAHUB_ROW(configuration_applied),
    CICADAHUB_ROW(configuration_refused),
    CICADAHUB_ROW(key_withdrawn),
    CICADAHUB_ROW(configuration_announced),
    CICADAHUB_ROW(platform_unreachable),
    CICADAHUB_ROW(platform_reachable),
    CICADAHUB_ROW(watch_restarted),
    CICADAHUB_ROW(store_restored),
    CICADAHUB_ROW(platform_call_delayed),
    CICADAHUB_ROW(list_incomplete),
    CICADAHUB_ROW(lease_won),
    CICADAHUB_ROW(lease_lost),
    CICADAHUB_ROW(lease_released),
    CICADAHUB_ROW(load_ordered),
    CICADAHUB_ROW(replica_loaded),
    CICADAHUB_ROW(load_failed),
    CICADAHUB_ROW(unload_ordered),
    CICADAHUB_ROW(replica_unloaded),
    CICADAHUB_ROW(server_unreachable),
    CICADAHUB_ROW(order_sent),
    CICADAHUB_ROW(order_answered),
    CICADAHUB_ROW(order_ended),
    CICADAHUB_ROW(server_listed),
    CICADAHUB_ROW(server_leaving),
    CICADAHUB_ROW(server_gone),
    CICADAHUB_ROW(server_suspended),
    CICADAHUB_ROW(server_paused),
    CICADAHUB_ROW(service_brittle),
    CICADAHUB_ROW(server_limited),
    CICADAHUB_ROW(service_versions_changed),
    CICADAHUB_ROW(limit_sender_chosen),
    CICADAHUB_ROW(route_services_changed),
    CICADAHUB_ROW(host_cut_off),
    CICADAHUB_ROW(host_reconnected),
    CICADAHUB_ROW(server_entry_outdated),
    CICADAHUB_ROW(server_cold),
    CICADAHUB_ROW(evacuation_changed),
    CICADAHUB_ROW(servers_refuse),
    CICADAHUB_ROW(peer_connected),
    CICADAHUB_ROW(peer_lost),
    CICADAHUB_ROW(peer_frame_malformed),
    CICADAHUB_ROW(learnt_from_peer),
    CICADAHUB_ROW(updates_dropped),
    CICADAHUB_ROW(datagram_not_sent),
    CICADAHUB_ROW(caller_vanished),
    CICADAHUB_ROW(request_suspected),
    CICADAHUB_ROW(prompt_part_refused),
    CICADAHUB_ROW(prompt_part_cleared),
    CICADAHUB_ROW(request_cleared),
    CICADAHUB_ROW(trial_began),
    CICADAHUB_ROW(request_waits),
    CICADAHUB_ROW(request_attempted),
    CICADAHUB_ROW(request_answered),
    CICADAHUB_ROW(request_refused),
    CICADAHUB_ROW(rate_exceeded),
    CICADAHUB_ROW(request_not_read),
    CICADAHUB_ROW(stream_not_resumed),
    CICADAHUB_ROW(stream_resumed),
    CICADAHUB_ROW(stream_origin_unknown),
    CICADAHUB_ROW(client_limited),
    CICADAHUB_ROW(audit_segment_failed),
    CICADAHUB_ROW(malformed_object),
};

#undef CICADAHUB_ROW

} // namespace

std::span<const event_row> event_catalogue()
{
    return event_rows;
}

std::string_view name_of(event_number number)
{
    for (const event_row& it : event_rows)
    {
        if (it.number == number)
        {
            return it.name;
        }
    }
    return "unknown";
}

} // namespace cicadahub
