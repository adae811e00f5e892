#pragma once

#include "entry/requests/active_request.hpp"

namespace cicadahub::entry
{

/// Serves callers' requests; models `http::request_handler`.
class request_handler
{
public:
    request_handler(entry_state& state, const caller_dialect& callers,
                    const server_dialect& servers)
        : m_state(state), m_callers(callers), m_servers(servers)
    {
    }

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    entry_state& m_state;
    const caller_dialect& m_callers;
    const server_dialect& m_servers;
};

} // namespace cicadahub::entry
