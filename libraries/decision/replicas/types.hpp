#pragma once

#include "serving/configuration.hpp"
#include "serving/server_entry.hpp"

#include <optional>
#include <vector>

namespace cicadahub::replicas
{

/// A model, or an adapter of it.
struct copy_name
{
    model_id model;
    std::optional<adapter_id> adapter;

    auto operator<=>(const copy_name&) const = default;
};

/// Requests of one daemon that wait for a copy.
struct pending_demand
{
    copy_name copy;
    std::uint32_t waiting = 0;
    /// Time that the most urgent of them has left.
    milliseconds slack{0};
};

/// Fleet-wide use of one model.
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

/// An order to a server. It is carried out only as the one after `expected`
/// others, so that a late one never acts on a state that it was not made for.
struct order
{
    server_id server;
    std::int64_t incarnation = 0;
    order_kind kind = order_kind::load;
    copy_name copy;
    std::uint64_t expected = 0;
    /// The load fetches weights from the store that all servers share.
    bool is_store_load = false;
};

enum class order_answer
{
    accepted,
    /// Already as ordered.
    holds,
    /// Another order is in progress, or the state is not the expected one.
    conflict,
    /// The server is another one, or knows a newer holder: not carried out.
    refused,
    /// May have been accepted, now or later.
    unknown,
};

} // namespace cicadahub::replicas
