#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <optional>
#include <set>

namespace cicadahub::serving
{

using endpoint = boost::asio::ip::tcp::endpoint;

/// Models in a server's memory, each with its adapters.
using holdings = std::map<model_id, std::set<adapter_id>>;

/// What a backend server tells of itself in the platform's list.
struct server_entry
{
    server_id id;
    /// Start of this incarnation; an id may come again with another one.
    std::int64_t incarnation = 0;
    service_id service;
    endpoint address;
    data_centre_id data_centre;
    std::uint32_t slots = 1;
    bool is_leaving = false;
    holdings models;
    /// Weights that load faster than from the store.
    std::set<model_id> in_memory;
    std::set<model_id> on_disk;
    /// Version of the object in the platform's store.
    object_version revision;
};

/// What a server answers when it is asked for its state.
struct server_report
{
    /// Orders that the server has accepted since its start.
    std::uint64_t orders_accepted = 0;
    bool is_busy = false;
    holdings models;
    std::set<model_id> in_memory;
    std::set<model_id> on_disk;
};

} // namespace cicadahub::serving
