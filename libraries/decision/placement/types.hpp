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

/// What is to be served: a model, or an adapter named "MODEL:ADAPTER".
struct item_spec
{
    model_id id;
    byte_count bytes;
    /// The model that an adapter is loaded into.
    std::optional<model_id> base;

    bool operator==(const item_spec&) const = default;
};

/// A backend server on which replicas may be placed.
struct server_spec
{
    server_id id;
    byte_count memory;
    /// Requests that the server runs at once at full speed.
    std::uint32_t slots = 1;
    /// True if the server refuses an order with an old fencing number.
    bool is_fencing = false;
    bool is_leaving = false;

    bool operator==(const server_spec&) const = default;
};

enum class replica_state
{
    /// Decided; a load may have been ordered.
    loading,
    loaded,
    /// Decided to go; an unload may have been ordered.
    unloading,
};

/// One replica that may be in a server's memory.
struct replica
{
    generation_number generation;
    model_id model;
    server_id server;
    byte_count bytes;
    replica_state state = replica_state::loading;
    /// Holding of the shard under which the replica was decided.
    epoch_number decided_in;
    /// A load order without an answer may still reach the server for this
    /// long after the document was written.
    milliseconds unsettled{0};

    bool operator==(const replica&) const = default;
};

/// The decided set, as it is written before any order is sent.
struct document
{
    epoch_number epoch;
    std::uint64_t next_generation = 1;
    std::vector<replica> replicas;

    bool operator==(const document&) const = default;
};

/// A request of some daemon that waits for a model.
struct wake
{
    std::uint64_t ticket;
    model_id model;
    time_point deadline;
};

/// What a server says of itself.
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
    /// No answer: the order may have been, or may yet be, carried out.
    unknown,
};

/// Limits of the weight store, held fleet-wide.
struct load_limits
{
    std::uint32_t models_in_flight = 4;
    double models_per_second = 3;
    std::uint32_t adapters_in_flight = 30;
};

/// Writes a document; the answer comes by `on_committed`.
struct commit_action
{
    document content;
    std::uint64_t sequence;
};

/// Sends an order to a server; the answer comes by `on_order_result`.
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
