#include "entry/servers/notice_record.hpp"

#include "core/errors.hpp"
#include "core/structured_log.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>

namespace cicadahub::entry
{

namespace
{

using daemon::pause;

constexpr const char* record_name = "servers";
constexpr std::string_view limits_member = "limits";
constexpr std::string_view requests_member = "refused_requests";
constexpr std::string_view parts_member = "refused_parts";
/// Crashes of requests, the latest first, also of those that are not refused.
constexpr std::string_view crashes_member = "crashes";
constexpr std::string_view traffic_member = "traffic_since_ms";
constexpr std::array members{limits_member, requests_member, parts_member,
                             crashes_member};
constexpr milliseconds retry_pause{100};
/// The holder looks this often whether anything has changed.
constexpr milliseconds check_period{200};
/// What changes all the time is written this often.
constexpr milliseconds write_period{1'000};
/// What is recorded counts as heard this long ago, so that every answer and
/// what other hosts have heard lately replace it.
constexpr milliseconds recorded_age{30'000};
/// A host that the store turns away learns the same from the digests of other
/// hosts, of which several come in this time.
constexpr milliseconds time_to_learn{1'000};
/// More than any server is cold for.
constexpr milliseconds max_traffic_time{86'400'000};
/// Keeps numbers that are read within the range of their type.
constexpr std::int64_t max_crashes = 1'000'000;
constexpr std::int64_t max_time_at_server_ms = 3'600'000;
/// A crash leaves many requests with one crash each, which complete elsewhere.
constexpr std::size_t max_recorded_crashes = 64;
/// Recorded crashes count as this far apart, so that they count separately.
constexpr milliseconds recorded_gap{2'000};

void append_limit(boost::json::array& to, const server_record& server,
                  time_point now)
{
    if (const auto limit = server.limit.named_requests_per_second(now))
    {
        to.push_back({{"server", server.entry.id.value()},
                      {"incarnation", server.entry.incarnation},
                      {"requests_per_second", *limit}});
    }
}

boost::json::array limits_json(const server_table& servers, time_point now)
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
    return limits;
}

bool has_cold_starts(const entry_state& state)
{
    if (!state.configuration)
    {
        return false;
    }
    const auto& services = state.configuration->services;
    return std::any_of(services.begin(), services.end(),
                       [](const auto& it)
                       { return it.second.cold_start > milliseconds(0); });
}

milliseconds wall_clock_now()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

/// Since when there has been traffic, by the clock of the first host that wrote
/// it, so that hosts whose clocks differ do not replace it in turn.
void add_traffic(boost::json::object& to, const boost::json::object& stored,
                 const entry_state& state, time_point now)
{
    const auto* known = stored.if_contains(traffic_member);
    if (known != nullptr)
    {
        to[traffic_member] = *known;
    }
    else if (state.traffic_since && has_cold_starts(state))
    {
        const milliseconds since =
            wall_clock_now() - std::chrono::duration_cast<milliseconds>(
                                   now - *state.traffic_since);
        to[traffic_member] = since.count();
    }
}

boost::json::object to_json(entry_state& state,
                            const boost::json::object& stored, time_point now)
{
    boost::json::object spec;
    add_traffic(spec, stored, state, now);
    spec[limits_member] = limits_json(state.servers, now);
    boost::json::array& requests = spec[requests_member].emplace_array();
    for (const suspicion::request_notice& it : state.suspects.refused(now))
    {
        requests.push_back({{"fingerprint", it.request.value()},
                            {"crashes", std::int64_t{it.crashes}},
                            {"trials", std::int64_t{it.trials}}});
    }
    boost::json::array& crashes = spec[crashes_member].emplace_array();
    for (const auto& it :
         state.suspects.known_crashes(max_recorded_crashes, now))
    {
        crashes.push_back(
            {{"fingerprint", it.request.value()},
             {"server", it.crash.key.server.value()},
             {"incarnation", it.crash.key.incarnation},
             {"sent_before_ms", std::chrono::duration_cast<milliseconds>(
                                    it.crash.at - it.crash.sent_at)
                                    .count()}});
    }
    boost::json::array& parts = spec[parts_member].emplace_array();
    for (const suspicion::part_notice& it : state.crashing_parts.refused(now))
    {
        parts.push_back(
            {{"part", it.part.value()}, {"trials", std::int64_t{it.trials}}});
    }
    return spec;
}

/// False if there is nothing to be known.
bool names_any(const boost::json::object& spec)
{
    return spec.contains(traffic_member) ||
           std::any_of(members.begin(), members.end(),
                       [&](std::string_view member)
                       {
                           const auto* list = spec.if_contains(member);
                           return list != nullptr && list->is_array() &&
                                  !list->get_array().empty();
                       });
}

} // namespace

notice_record::notice_record(net::io_context& context, platform::store& store,
                             entry_state& state, handlers given)
    : m_context(context), m_store(store), m_state(state),
      m_handlers(std::move(given))
{
}

void notice_record::start()
{
    net::co_spawn(m_context, read_past(), net::detached);
    net::co_spawn(m_context, write_changes(), net::detached);
}

void notice_record::on_known()
{
    if (!m_state.are_limits_known)
    {
        m_state.are_limits_known = true;
        m_handlers.on_known();
    }
}

net::awaitable<void> notice_record::read()
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

void notice_record::apply_traffic()
{
    const auto* since = m_stored->spec.if_contains(traffic_member);
    if (since == nullptr || !since->is_int64())
    {
        return;
    }
    const milliseconds lasted =
        std::clamp(wall_clock_now() - milliseconds(since->get_int64()),
                   milliseconds(0), max_traffic_time);
    m_state.on_traffic(monotonic_clock::now() - lasted);
}

void notice_record::apply_stored()
{
    apply_traffic();
    const time_point heard_at = monotonic_clock::now() - recorded_age;
    for_each_entry(limits_member,
                   [&](const json_reader& it) { apply_limit(it, heard_at); });
    for_each_entry(requests_member, [&](const json_reader& it)
                   { apply_refused_request(it, heard_at); });
    for_each_entry(parts_member, [&](const json_reader& it)
                   { apply_refused_part(it, heard_at); });
    time_point crashed_at = heard_at;
    for_each_entry(crashes_member,
                   [&](const json_reader& it)
                   {
                       apply_crash(it, crashed_at);
                       crashed_at -= recorded_gap;
                   });
}

void notice_record::for_each_entry(
    std::string_view member,
    const std::function<void(const json_reader&)>& apply)
{
    const auto* list = m_stored->spec.if_contains(member);
    if (list == nullptr || !list->is_array())
    {
        return;
    }
    for (const boost::json::value& it : list->get_array())
    {
        try
        {
            if (!it.is_object())
            {
                throw malformed_document("an entry must be an object");
            }
            apply(json_reader(it.get_object()));
        }
        catch (const malformed_document& reason)
        {
            log_event(severity::warning, event_number::malformed_object,
                      {{"collection", "limits"},
                       {"object", record_name},
                       {"member", member},
                       {"reason", reason.what()}});
        }
    }
}

void notice_record::apply_limit(const json_reader& it, time_point heard_at)
{
    m_state.on_recorded_limit(server_id(it.text("server")),
                              it.integer("incarnation"),
                              it.number("requests_per_second"), heard_at);
}

void notice_record::apply_refused_request(const json_reader& it,
                                          time_point last_crash)
{
    const std::string fingerprint = it.text("fingerprint");
    const auto crashes = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(it.integer("crashes"), 1, max_crashes));
    const auto trials = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(it.integer_or("trials", 0), 0, max_crashes));
    const bool is_news = m_state.suspects.on_notice(
        {suspicion::fingerprint(fingerprint), crashes, last_crash, trials},
        monotonic_clock::now());
    if (is_news)
    {
        log_event(severity::info, event_number::request_suspected,
                  {{"fingerprint", fingerprint},
                   {"crashes", crashes},
                   {"seen_by", "record"}});
    }
}

void notice_record::apply_crash(const json_reader& it, time_point crashed_at)
{
    const milliseconds at_server(std::clamp<std::int64_t>(
        it.integer("sent_before_ms"), 0, max_time_at_server_ms));
    const suspicion::request_crash crash{
        {server_id(it.text("server")), it.integer("incarnation")},
        crashed_at,
        crashed_at - at_server};
    const std::string fingerprint = it.text("fingerprint");
    const std::uint32_t crashes =
        m_state.suspects.on_crash(suspicion::fingerprint(fingerprint), crash,
                                  false, monotonic_clock::now());
    log_event(severity::info, event_number::request_suspected,
              {{"fingerprint", fingerprint},
               {"crashes", crashes},
               {"server", crash.key.server.value()},
               {"incarnation", crash.key.incarnation},
               {"seen_by", "record"}});
}

void notice_record::apply_refused_part(const json_reader& it,
                                       time_point last_crash)
{
    const std::string part = it.text("part");
    const auto trials = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(it.integer("trials"), 0, max_crashes));
    const bool is_news = m_state.crashing_parts.on_refused(
        {suspicion::part_fingerprint(part), last_crash, trials},
        monotonic_clock::now());
    if (is_news)
    {
        log_event(severity::warning, event_number::prompt_part_refused,
                  {{"part", part}, {"seen_by", "record"}});
    }
}

net::awaitable<void> notice_record::read_past()
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

net::awaitable<void> notice_record::write()
{
    const boost::json::object spec =
        to_json(m_state, m_stored->spec, monotonic_clock::now());
    const bool is_written = m_stored->spec == spec ||
                            (!names_any(spec) && !names_any(m_stored->spec));
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

net::awaitable<void> notice_record::write_changes()
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
