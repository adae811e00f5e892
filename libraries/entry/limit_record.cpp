#include "entry/limit_record.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"
#include "core/structured_log.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadahub::entry
{

namespace
{

using daemon::pause;

constexpr const char* record_name = "servers";
constexpr std::string_view limits_member = "limits";
constexpr milliseconds retry_pause{100};
/// The holder looks this often whether the limits have changed.
constexpr milliseconds check_period{200};
/// Limits that change all the time are written this often.
constexpr milliseconds write_period{1'000};
/// A recorded limit counts as heard this long ago, so that every answer and
/// what other hosts have heard lately replace it.
constexpr milliseconds recorded_age{30'000};
/// A host that the store turns away learns of limits from the digests of other
/// hosts, of which several come in this time.
constexpr milliseconds time_to_learn{1'000};

void append_limit(boost::json::array& to, const server_record& server,
                  time_point now)
{
    if (const auto limit = server.limit.requests_per_second(now))
    {
        to.push_back({{"server", server.entry.id.value()},
                      {"incarnation", server.entry.incarnation},
                      {"requests_per_second", *limit}});
    }
}

boost::json::object to_json(const server_table& servers, time_point now)
{
    boost::json::array limits;
    for (const auto& [id, record] : servers.records())
    {
        append_limit(limits, *record, now);
    }
    for (const auto& [id, it] : servers.unlisted())
    {
        append_limit(limits, *it.record, now);
    }
    boost::json::object spec;
    spec[limits_member] = std::move(limits);
    return spec;
}

bool names_limits(const boost::json::object& spec)
{
    const auto* limits = spec.if_contains(limits_member);
    return limits != nullptr && limits->is_array() &&
           !limits->get_array().empty();
}

} // namespace

limit_record::limit_record(net::io_context& context, platform::store& store,
                           entry_state& state, handlers given)
    : m_context(context), m_store(store), m_state(state),
      m_handlers(std::move(given))
{
}

void limit_record::start()
{
    net::co_spawn(m_context, read_past(), net::detached);
    net::co_spawn(m_context, write_changes(), net::detached);
}

void limit_record::on_known()
{
    if (!m_state.are_limits_known)
    {
        m_state.are_limits_known = true;
        m_handlers.on_known();
    }
}

net::awaitable<void> limit_record::read()
{
    auto stored =
        co_await m_store.read(platform::collection::limits, record_name);
    if (!stored)
    {
        stored.emplace();
        stored->name = record_name;
    }
    m_stored = std::move(stored);
}

void limit_record::apply_stored()
{
    if (!names_limits(m_stored->spec))
    {
        return;
    }
    const time_point heard_at = monotonic_clock::now() - recorded_age;
    for (const boost::json::value& it :
         m_stored->spec.at(limits_member).get_array())
    {
        try
        {
            if (!it.is_object())
            {
                throw malformed_document("a limit must be an object");
            }
            const json_reader limit(it.get_object());
            m_state.on_recorded_limit(
                server_id(limit.text("server")), limit.integer("incarnation"),
                limit.number("requests_per_second"), heard_at);
        }
        catch (const malformed_document& reason)
        {
            log_event(severity::warning, event_number::malformed_object,
                      {{"collection", "limits"},
                       {"object", record_name},
                       {"reason", reason.what()}});
        }
    }
}

net::awaitable<void> limit_record::read_past()
{
    const time_point began = monotonic_clock::now();
    bool is_read = false;
    while (!is_read && !m_handlers.is_stopping())
    {
        try
        {
            co_await read();
            is_read = true;
            apply_stored();
        }
        catch (const error& reason)
        {
            log_event(severity::warning, event_number::platform_unreachable,
                      {{"collection", "limits"}, {"reason", reason.what()}});
        }
        const bool has_learnt =
            monotonic_clock::now() >= began + time_to_learn &&
            !m_state.fleet.peers().empty();
        if (is_read || has_learnt)
        {
            on_known();
        }
        if (!is_read)
        {
            co_await pause(m_context, retry_pause);
        }
    }
}

net::awaitable<void> limit_record::write()
{
    const boost::json::object spec =
        to_json(m_state.servers, monotonic_clock::now());
    const bool is_written =
        m_stored->spec == spec ||
        (!names_limits(spec) && !names_limits(m_stored->spec));
    if (is_written)
    {
        co_return;
    }
    const auto written =
        co_await m_store.write(platform::collection::limits, *m_stored, spec);
    if (written.outcome != platform::write_outcome::applied)
    {
        m_stored.reset();
        co_return;
    }
    m_stored->spec = spec;
    m_stored->version = written.version;
    co_await pause(m_context, write_period);
}

net::awaitable<void> limit_record::write_changes()
{
    while (!m_handlers.is_stopping())
    {
        co_await pause(m_context, check_period);
        if (!m_handlers.is_holder() || !m_state.are_limits_known)
        {
            // Another holder may write in the meantime.
            m_stored.reset();
            continue;
        }
        try
        {
            if (!m_stored)
            {
                co_await read();
            }
            co_await write();
        }
        catch (const error& reason)
        {
            m_stored.reset();
            log_event(severity::warning, event_number::platform_unreachable,
                      {{"collection", "limits"}, {"reason", reason.what()}});
        }
    }
}

} // namespace cicadahub::entry
