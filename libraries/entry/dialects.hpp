#pragma once

#include "core/refusal.hpp"
#include "decision/outcome/response_meaning.hpp"
#include "decision/replicas/types.hpp"
#include "http/types.hpp"
#include "platform/stored_object.hpp"
#include "serving/configuration.hpp"
#include "serving/request.hpp"
#include "serving/server_entry.hpp"

#include <optional>

namespace cicadahub::entry
{

/// Encoding of the requests of one kind of caller, and of refusals. Functions
/// that read throw `malformed_document` on input outside the published format.
struct caller_dialect
{
    serving::request (*read_request)(const http::request& message);
    http::response (*refuse)(const refusal& it);
};

/// Data that is added to a request when it is forwarded to a server.
struct forwarding
{
    server_id server;
    std::optional<organisation_id> organisation;
    milliseconds time_left{0};
    /// Id of the last event that the caller has received; set to resume a
    /// stream.
    std::optional<std::string> after_event;
    /// 0 to 9, 0 first; the server's default if empty.
    std::optional<int> urgency{};
};

struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes there at the moment, in percent of what is usual;
    /// not stated in every deployment.
    std::optional<std::uint32_t> pace_percent;
};

/// What the head of any response says of the server that sent it.
struct server_notice
{
    /// False if another server sent the response; nothing else is set then.
    bool is_from_server = false;
    /// The server leaves and wants no more requests.
    bool is_leaving = false;
    /// The server wants no requests from this host for this long.
    std::optional<milliseconds> pause;
    /// The server is brittle: it fails if it has to reject more requests than
    /// this in a second.
    std::optional<std::uint32_t> brittle_limit;
    /// Requests a second that the server takes from all hosts together.
    std::optional<double> rate_limit;
    std::optional<server_load> load;
    /// Time for which the server remains cold; 0 if it says that it is not.
    std::optional<milliseconds> cold_left;
};

struct answer_head
{
    outcome::response_facts facts;
};

/// Encoding of requests, orders and reports for one kind of backend server.
struct server_dialect
{
    std::string (*forward_head)(const http::request& message,
                                const forwarding& added);
    answer_head (*read_answer)(const http::beast_http::response_header<>& head,
                               const request_id& request,
                               const server_id& server);
    server_notice (*read_notice)(
        const http::beast_http::response_header<>& head,
        const server_id& expected);
    http::request (*make_order)(const replicas::order& it,
                                const daemon_id& holder, epoch_number epoch);
    replicas::order_answer (*read_order_answer)(const http::response& answer);
    http::request (*make_report_request)(const server_id& server);
    serving::server_report (*read_report)(const http::response& answer);
};

/// Encoding of the configuration and of the servers in the platform's store.
struct document_dialect
{
    /// Name of the object that contains the complete configuration.
    std::string_view configuration_name;
    serving::configuration (*read_configuration)(
        const platform::stored_object& it);
    serving::server_entry (*read_server)(const platform::stored_object& it);
};

} // namespace cicadahub::entry
