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

/// Models loaded at a server for serving, each with its loaded adapters.
using holdings = std::map<model_id, std::set<adapter_id>>;

/// Entry of a backend server in the platform's list of servers.
struct server_entry
{
    server_id id;
    /// Start of this incarnation; a restarted server has the same id and
    /// another incarnation.
    std::int64_t incarnation = 0;
    service_id service;
    /// That of this incarnation; empty if the entry does not tell.
    software_version version;
    endpoint address;
    data_centre_id data_centre;
    std::uint32_t slots = 1;
    bool is_leaving = false;
    /// Time for which the server remains cold, when the entry was written.
    milliseconds cold_left{0};
    holdings models;
    /// Weights cached in host memory and on disk, which load faster than from
    /// the weight store.
    std::set<model_id> in_memory;
    std::set<model_id> on_disk;
    /// Version of the object in the platform's store.
    object_version revision;
};

/// State of a server, as it reports on request.
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
