#pragma once

#include "serving/configuration.hpp"
#include "serving/server_entry.hpp"

#include <optional>
#include <set>
#include <vector>

namespace cicadahub::replicas
{

/// Weights that a server can load: a model, or one of its LoRA adapters.
struct copy_name
{
    model_id model;
    std::optional<adapter_id> adapter;

    auto operator<=>(const copy_name&) const = default;
};

/// Servers that will do for a request.
struct server_filter
{
    /// Set for streams that go on only at servers of this software version.
    std::optional<software_version> version;
    /// Set if only servers in these regions may get the request.
    std::optional<std::set<region_id>> regions;

    bool allows_any() const { return !version && !regions; }
    auto operator<=>(const server_filter&) const = default;
};

/// Requests at one daemon that wait for the same model or adapter.
struct pending_demand
{
    copy_name copy;
    /// Set for streams that go on only at servers of this software version.
    std::optional<software_version> version;
    /// Set if only servers in these regions may get the requests.
    std::optional<std::set<region_id>> regions;
    std::uint32_t waiting = 0;
    /// Time left until the earliest deadline among these requests.
    milliseconds slack{0};
};

/// Load of one model over the whole fleet.
struct model_use
{
    double requests_per_second = 0;
    std::uint32_t running = 0;
};

enum class order_kind
{
    load,
    unload,
};

/// An order to a server to load or unload a model or adapter. The server
/// carries it out only if it has accepted exactly `expected` orders before, so
/// that a delayed order never acts on a state that it was not planned for.
struct order
{
    server_id server;
    std::int64_t incarnation = 0;
    order_kind kind = order_kind::load;
    copy_name copy;
    std::uint64_t expected = 0;
    /// The load fetches the weights from the weight store, which all servers
    /// share.
    bool is_store_load = false;
};

enum class order_answer
{
    accepted,
    /// Nothing to do: the server's state is already the one ordered.
    holds,
    /// Another order is in progress, or the number of accepted orders is not
    /// the expected one: not carried out.
    conflict,
    /// The server has another incarnation, or has seen a newer lease holder:
    /// not carried out.
    refused,
    /// No answer arrived: the server may have accepted the order, or may still
    /// receive and accept it.
    unknown,
    /// Not sent, because the server meanwhile leaves or asked for a pause, or
    /// the lease has ended.
    withheld,
};

} // namespace cicadahub::replicas
