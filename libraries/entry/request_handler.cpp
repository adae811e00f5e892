#include "entry/request_handler.hpp"

#include "core/errors.hpp"

namespace cicadahub::entry
{

net::awaitable<void> request_handler::serve(http::request& message,
                                            http::reply_writer& reply)
{
    std::optional<refusal> refused;
    try
    {
        active_request run(m_state, m_servers, message,
                           m_callers.read_request(message), reply);
        co_await run.serve();
    }
    catch (const refused_error& it)
    {
        refused = it.reason();
    }
    catch (const malformed_document&)
    {
        refused = refusal{refusal_kind::malformed_request};
    }
    reply.stop_watching_caller();
    if (!refused)
    {
        co_return;
    }
    if (reply.has_started())
    {
        reply.abort_stream();
        co_return;
    }
    co_await reply.send(m_callers.refuse(*refused));
}

} // namespace cicadahub::entry
