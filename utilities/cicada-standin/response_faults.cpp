#include "response_faults.hpp"

namespace cicadahub::standin
{

void response_faults::read(const json_reader& it)
{
    m_names_request = it.boolean_or("echo", m_names_request);
    m_unproven_promises =
        it.integer_or("unproven_promises", m_unproven_promises);
    m_promises_as_streams =
        it.boolean_or("promises_as_streams", m_promises_as_streams);
    m_stale_responses = it.integer_or("stale_responses", m_stale_responses);
    m_promised_status = it.integer_or("promised_status", m_promised_status);
    m_stale_id = it.text_or("stale_id", m_stale_id);
}

response_faults::response_fault response_faults::take_next()
{
    response_fault it;
    it.is_promise = m_unproven_promises > 0;
    it.has_stale_response = m_stale_responses > 0;
    m_unproven_promises -= it.is_promise ? 1 : 0;
    m_stale_responses -= it.has_stale_response ? 1 : 0;
    return it;
}

http::response response_faults::promise() const
{
    http::response it =
        http::json_response(static_cast<http::status>(m_promised_status), "{}");
    if (m_promises_as_streams)
    {
        it.set(http::field::content_type, "text/event-stream");
        it.body() = "data: {}\n\n";
        it.prepare_payload();
    }
    return it;
}

http::response response_faults::stale_response() const
{
    http::response it = http::json_response(
        static_cast<http::status>(m_promised_status), std::string(stale_body));
    if (!m_stale_id.empty())
    {
        it.set(id_field, m_stale_id);
    }
    return it;
}

} // namespace cicadahub::standin
