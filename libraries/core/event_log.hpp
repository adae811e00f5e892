#pragma once

#include <glog/logging.h>

#include <span>
#include <string_view>

namespace cicadahub
{

/// Numbers of the events that daemons and utilities log. docs/EVENTS.md lists
/// them; a test checks that the two agree.
enum class event_number
{
    daemon_started = 100,
    daemon_ready = 101,
    drain_began = 102,
    daemon_stopped = 103,
    listen_failed = 105,
    settings_reloaded = 106,
    loop_delayed = 107,
    loop_stalled = 108,
    configuration_applied = 200,
    configuration_refused = 201,
    key_withdrawn = 202,
    configuration_announced = 203,
    platform_unreachable = 300,
    platform_reachable = 301,
    watch_restarted = 302,
    store_restored = 303,
    platform_call_delayed = 304,
    list_incomplete = 305,
    lease_won = 400,
    lease_lost = 401,
    lease_released = 402,
    load_ordered = 501,
    replica_loaded = 502,
    load_failed = 503,
    unload_ordered = 504,
    replica_unloaded = 505,
    server_unreachable = 506,
    order_sent = 510,
    order_answered = 511,
    order_ended = 512,
    server_listed = 520,
    server_leaving = 521,
    server_gone = 522,
    server_suspended = 523,
    server_paused = 524,
    service_brittle = 525,
    server_limited = 526,
    service_versions_changed = 527,
    limit_sender_chosen = 528,
    route_services_changed = 529,
    host_cut_off = 530,
    host_reconnected = 531,
    server_entry_outdated = 532,
    server_cold = 533,
    evacuation_changed = 534,
    servers_refuse = 535,
    peer_connected = 600,
    peer_lost = 601,
    peer_frame_malformed = 602,
    learnt_from_peer = 603,
    updates_dropped = 604,
    datagram_not_sent = 605,
    caller_vanished = 701,
    request_suspected = 702,
    prompt_part_refused = 703,
    prompt_part_cleared = 704,
    request_cleared = 705,
    trial_began = 706,
    request_waits = 710,
    request_attempted = 711,
    request_answered = 712,
    request_refused = 713,
    rate_exceeded = 714,
    request_not_read = 715,
    stream_not_resumed = 716,
    stream_resumed = 717,
    stream_origin_unknown = 718,
    client_limited = 719,
    audit_segment_failed = 800,
    malformed_object = 801,
};

/// Number and name of one event.
struct event_row
{
    event_number number;
    std::string_view name;
};

/// Every event, sorted by number.
std::span<const event_row> event_catalogue();

/// Name of an event, or "unknown" if no event has the number.
std::string_view name_of(event_number number);

} // namespace cicadahub

/// Logs a numbered event: `CICADAHUB_EVENT(INFO, lease_won) << "shard=" << it`.
#define CICADAHUB_EVENT(level, event)                                          \
    LOG(level) << "E" << static_cast<int>(::cicadahub::event_number::event)    \
               << " " #event " "
