#include "entry/servers/start_verifier.hpp"

#include "core/structured_log.hpp"
#include "daemon/pause.hpp"
#include "http/response_reading.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace cicadahub::entry
{

namespace
{

constexpr milliseconds check_period{50};
/// Many round trips; a server that does not answer in it is asked again.
constexpr milliseconds answer_timeout{500};

} // namespace

void start_verifier::start()
{
    net::co_spawn(m_state.context, run(), net::detached);
}

net::awaitable<void> start_verifier::run()
{
    while (true)
    {
        co_await daemon::pause(m_state.context, check_period);
        const time_point now = monotonic_clock::now();
        // A copy, since the list of them changes.
        const auto unverified = m_state.servers.unverified();
        for (const server_table::unverified_start& it : unverified)
        {
            if (now >= it.since + longest_verification)
            {
                m_state.servers.on_verified(it.record);
            }
            else if (may_ask(*it.record, now) &&
                     now >= it.record->last_check + answer_timeout)
            {
                it.record->last_check = now;
                net::co_spawn(m_state.context, ask(it.record), net::detached);
            }
        }
    }
}

bool start_verifier::may_ask(const server_record& it, time_point now) const
{
    // All hosts would ask a cold server at the same time.
    const bool is_asked_by_other =
        it.limit.is_cold(now) &&
        entry_state::limit_sender(it) != m_state.settings.name.value();
    return !it.is_evacuated && !is_asked_by_other;
}

net::awaitable<void> start_verifier::ask(server_table::record_pointer server)
{
    const serving::server_entry entry = server->entry;
    try
    {
        auto connection =
            co_await m_state.pool.connect(entry.address, answer_timeout);
        connection->set_timeout(answer_timeout);
        http::request question = m_dialect.make_report_request(entry.id);
        co_await http::beast_http::async_write(connection->stream, question,
                                               net::use_awaitable);
        std::optional<http::response_head_parser> parser;
        co_await http::read_response_head(*connection, parser,
                                          question.method());
        const server_notice notice =
            m_dialect.read_notice(parser->get(), entry.id);
        if (!notice.is_from_server)
        {
            co_return;
        }
        m_state.on_server_notice(*server, notice);
        if (notice.is_leaving &&
            m_state.servers.on_leaving(entry.id, entry.incarnation, "check"))
        {
            m_state.on_server_leaving();
        }
        m_state.servers.on_verified(server);
        m_state.waiting.wake_all();
    }
    catch (const boost::system::system_error& reason)
    {
        log_event(severity::info, event_number::server_unreachable,
                  {{"server", entry.id.value()},
                   {"incarnation", entry.incarnation},
                   {"reason", reason.code().message()}});
    }
}

} // namespace cicadahub::entry
