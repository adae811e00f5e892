#include "entry/servers/crash_evidence.hpp"

#include "core/structured_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadahub::entry
{

namespace
{

bool is_success(const exchange_result& result)
{
    constexpr unsigned first_failure_status = 300;
    return !result.answer || result.answer->result_int() < first_failure_status;
}

std::string text_of(const std::vector<suspicion::part_fingerprint>& parts)
{
    std::string text;
    for (const auto& it : parts)
    {
        text.append(text.empty() ? "" : " ").append(it.value());
    }
    return text;
}

} // namespace

crash_evidence::crash_evidence(entry_state& state,
                               server_table::record_pointer server,
                               request_id request,
                               suspicion::fingerprint fingerprint,
                               std::vector<suspicion::part_fingerprint> parts,
                               time_point sent_at)
    : m_state(state), m_server(std::move(server)),
      m_request(std::move(request)), m_fingerprint(std::move(fingerprint)),
      m_parts(std::move(parts)), m_sent_at(sent_at)
{
}

void crash_evidence::on_crash(time_point crashed_at) const
{
    const time_point now = monotonic_clock::now();
    suspicion::server_crash crash;
    crash.key = {m_server->entry.id, m_server->entry.incarnation};
    crash.at = crashed_at;
    crash.requests.push_back({m_fingerprint, m_sent_at, m_parts});
    m_state.crashing_parts.on_crash(crash, true, now);
    const std::uint32_t crashes = m_state.suspects.on_crash(
        m_fingerprint, {crash.key, crashed_at, m_sent_at}, true, now);
    m_state.send_update_to_all_soon();
    log_event(severity::warning, event_number::request_suspected,
              {{"request", m_request.value()},
               {"fingerprint", m_fingerprint.value()},
               {"crashes", crashes},
               {"server", m_server->entry.id.value()},
               {"incarnation", m_server->entry.incarnation},
               {"servers_silent_ms", std::chrono::duration_cast<milliseconds>(
                                         now - m_state.last_server_contact)
                                         .count()},
               {"prompt_parts", text_of(m_parts)},
               {"seen_by", m_state.settings.name.value()}});
}

void crash_evidence::on_answer(const exchange_result& result) const
{
    if (!result.answer_began || !is_success(result) || !result.framing)
    {
        return;
    }
    if (*result.framing != http::body_framing::until_close)
    {
        clear(*result.answer_began);
        return;
    }
    net::co_spawn(
        m_state.context,
        examine_end(*this, *result.answer_began, monotonic_clock::now()),
        net::detached);
}

net::awaitable<void> crash_evidence::examine_end(crash_evidence it,
                                                 time_point answer_began,
                                                 time_point ended_at)
{
    const http::endpoint server = it.m_server->entry.address;
    const loss_cause cause = co_await it.m_state.reach.find_cause(
        server, connection_loss::within_answer);
    if (cause == loss_cause::other)
    {
        it.clear(answer_began);
    }
    // A server that leaves ends once it has answered.
    else if (cause == loss_cause::crash && !it.m_server->entry.is_leaving)
    {
        it.on_crash(ended_at);
    }
}

void crash_evidence::on_lasted(time_point began, time_point crashed_at) const
{
    clear(began);
    suspicion::server_crash crash;
    crash.key = {m_server->entry.id, m_server->entry.incarnation};
    crash.at = crashed_at;
    crash.requests.push_back({{}, m_sent_at, {}});
    m_state.crashing_parts.on_crash(crash, true, monotonic_clock::now());
    m_state.send_update_to_all_soon();
}

void crash_evidence::clear(time_point began) const
{
    const time_point now = monotonic_clock::now();
    const std::uint32_t crashes =
        m_state.suspects.on_completed(m_fingerprint, began, now);
    if (crashes > 0)
    {
        m_state.on_request_cleared(m_fingerprint, crashes, m_request);
    }
    if (!m_state.crashing_parts.is_empty())
    {
        m_state.on_parts_cleared(
            m_state.crashing_parts.on_completed(m_parts, began, now),
            m_request);
    }
}

} // namespace cicadahub::entry
