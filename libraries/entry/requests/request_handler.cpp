#include "entry/requests/request_handler.hpp"

#include "core/errors.hpp"
#include "core/structured_log.hpp"

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
    catch (const malformed_document& reason)
    {
        refused = refusal{refusal_kind::malformed_request};
        log_event(severity::warning, event_number::request_not_read,
                  {{"reason", cicadahub::name_of(refused->kind)},
                   {"error", reason.what()}});
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
