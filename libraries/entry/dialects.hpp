#pragma once

#include "core/refusal.hpp"
#include "decision/replicas/types.hpp"
#include "http/types.hpp"
#include "platform/stored_object.hpp"
#include "serving/configuration.hpp"
#include "serving/request.hpp"
#include "serving/server_entry.hpp"

#include <optional>

namespace cicadahub::entry
{

/// How one kind of caller spells requests and refusals. Functions that read
/// throw `malformed_document` for anything but the published shape.
struct caller_dialect
{
    serving::request (*read_request)(const http::request& message);
    http::response (*refuse)(const refusal& it);
};

/// What the system adds to a request that it passes on.
struct forwarding
{
    server_id server;
    std::optional<organisation_id> organisation;
    milliseconds time_left{0};
    /// Set to go on with a stream after the event that the caller has.
    std::optional<std::string> after_event;
};

/// What the head of a server's answer says of the request.
enum class answer_meaning
{
    /// The server's own answer, for the caller.
    answer,
    /// Not run: the server is full or has no time for it.
    turned_away,
    /// Not run: another server has the address, or the model is not there.
    not_here,
    /// Belongs to another request, or carries no proof that it is the
    /// server's.
    not_an_answer,
};

struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

struct answer_head
{
    answer_meaning meaning = answer_meaning::not_an_answer;
    std::optional<server_load> load;
};

/// How one kind of backend server spells requests, orders and reports.
struct server_dialect
{
    std::string (*forward_head)(const http::request& message,
                                const forwarding& added);
    answer_head (*read_answer)(const http::beast_http::response_header<>& head,
                               const request_id& expected);
    http::request (*make_order)(const replicas::order& it,
                                const daemon_id& holder, epoch_number epoch);
    replicas::order_answer (*read_order_answer)(const http::response& answer);
    http::request (*make_report_request)(const server_id& server);
    serving::server_report (*read_report)(const http::response& answer);
};

/// How the platform spells the configuration and the servers in its store.
struct document_dialect
{
    /// Name of the object that holds the whole configuration.
    std::string_view configuration_name;
    serving::configuration (*read_configuration)(
        const platform::stored_object& it);
    serving::server_entry (*read_server)(const platform::stored_object& it);
};

} // namespace cicadahub::entry
