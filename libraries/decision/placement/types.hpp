#pragma once

#include "core/ids.hpp"
#include "core/refusal.hpp"
#include "core/units.hpp"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cicadahub::placement
{

/// A model, or an adapter named "MODEL:ADAPTER", that can be placed on servers.
struct item_spec
{
    model_id id;
    byte_count bytes;
    /// The model that an adapter is loaded into; none for a model.
    std::optional<model_id> base;

    bool operator==(const item_spec&) const = default;
};

/// A backend server on which replicas may be placed.
struct server_spec
{
    server_id id;
    byte_count memory;
    /// Requests that the server runs concurrently at full speed.
    std::uint32_t slots = 1;
    /// True if the server rejects orders with a stale fencing token.
    bool is_fencing = false;
    /// True while the server is being drained: it gets no new replicas.
    bool is_leaving = false;

    bool operator==(const server_spec&) const = default;
};

enum class replica_state
{
    /// Load decided; the order may have been sent.
    loading,
    loaded,
    /// Unload decided; the order may have been sent.
    unloading,
};

/// A replica that occupies, or may occupy, a server's memory.
struct replica
{
    generation_number generation;
    model_id model;
    server_id server;
    byte_count bytes;
    replica_state state = replica_state::loading;
    /// Epoch of the owner that created the replica.
    epoch_number decided_in;
    /// Counted from the write of the document: time during which a load order
    /// with an unknown result may still reach the server.
    milliseconds unsettled{0};

    bool operator==(const replica&) const = default;
};

/// The decided state of all replicas. It is persisted before any order that
/// follows from it is sent.
struct document
{
    epoch_number epoch;
    std::uint64_t next_generation = 1;
    std::vector<replica> replicas;

    bool operator==(const document&) const = default;
};

/// A daemon's request for a model that is not loaded; it waits until the
/// deadline.
struct wake
{
    std::uint64_t ticket;
    model_id model;
    time_point deadline;
};

/// A server's report of its models and its load.
struct server_report
{
    std::set<model_id> loaded;
    std::set<model_id> loading;
    std::set<model_id> on_disk;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

enum class order_kind
{
    load,
    unload,
};

enum class order_result
{
    done,
    failed,
    refused_by_fence,
    /// No answer was received: the order may have been executed, or may still
    /// be.
    unknown,
};

/// Fleet-wide limits that protect the weight store.
struct load_limits
{
    std::uint32_t models_in_flight = 4;
    double models_per_second = 3;
    std::uint32_t adapters_in_flight = 30;
};

/// Persists a document; `on_committed` confirms the write.
struct commit_action
{
    document content;
    std::uint64_t sequence;
};

/// Sends an order to a server; `on_order_result` reports its result.
struct order_action
{
    order_kind kind;
    replica target;
    epoch_number fence;
};

/// Answers a wake with the replica to use, or with a refusal.
struct answer_action
{
    std::uint64_t ticket;
    std::variant<replica, refusal> answer;
};

using action = std::variant<commit_action, order_action, answer_action>;
using action_list = std::vector<action>;

} // namespace cicadahub::placement
