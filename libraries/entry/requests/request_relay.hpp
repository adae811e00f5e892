#pragma once

#include "entry/requests/attempt_observer.hpp"
#include "entry/store/object_relay.hpp"

namespace cicadahub::entry
{

/// Serves the other daemons: forwards requests of those that are cut off from
/// the servers, and returns the objects that this daemon knows. A relayed
/// request goes to the server that its sender chose, in one attempt, directly:
/// it was authenticated, charged and admitted there, and is never relayed on.
/// Models `http::request_handler`.
class request_relay
{
public:
    request_relay(entry_state& state, const caller_dialect& callers,
                  const server_dialect& servers, object_relay& objects)
        : m_state(state), m_callers(callers), m_servers(servers),
          m_objects(objects)
    {
    }

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    net::awaitable<void> forward(http::request& message,
                                 http::reply_writer& reply);
    /// Time until a request can be sent to a limited server, with a place
    /// booked for it if it asks for one; empty if this host does not send to
    /// the server.
    std::optional<milliseconds> wait_for_limit(server_record& server,
                                               const request_id& request,
                                               const relayed_request& it);
    net::awaitable<void> finish(exchange_result result, bool has_head,
                                http::reply_writer& reply) const;

    entry_state& m_state;
    const caller_dialect& m_callers;
    const server_dialect& m_servers;
    object_relay& m_objects;
};

} // namespace cicadahub::entry
