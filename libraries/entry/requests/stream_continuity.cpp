#include "entry/requests/stream_continuity.hpp"

#include "core/structured_log.hpp"
#include "decision/continuity/keeper_selection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadahub::entry
{

namespace
{

using continuity::begun_stream;
using continuity::stream_key;
using continuity::stream_origin;

/// More than the streams that all hosts of the largest deployment begin within
/// the longest time in which they can be taken up; a few MB.
constexpr std::size_t max_streams = 20'000;
/// A server may begin streams this long after its version is no longer listed:
/// all hosts learn of it in this time.
constexpr milliseconds list_lag{5'000};
/// A host that starts reads the record within this time, unless the store turns
/// it away.
constexpr milliseconds first_read_time{3'000};
/// Hosts in contact answer within a few milliseconds. The caller, which waits
/// for its next event, is told early that nobody knows.
constexpr milliseconds answer_limit{250};
/// A stream that began while others could have begun it too is in the record
/// after this time: two periods in which streams are written.
constexpr milliseconds longest_unrecorded{600};
/// A datagram of this many streams is well below the largest.
constexpr std::size_t max_streams_per_message = 200;

fleet::wire::BegunStream to_wire(const begun_stream& it, time_point now)
{
    fleet::wire::BegunStream wire;
    wire.key = it.key.value();
    wire.service_name = it.origin.service.value();
    wire.version = it.origin.version.value();
    wire.left_ms = static_cast<std::int32_t>(
        std::chrono::duration_cast<milliseconds>(it.until - now).count());
    return wire;
}

std::string describe(const stream_origin& it)
{
    return it.service.value() + '/' + it.version.value();
}

template<class Id>
std::string describe(const Id& it)
{
    return it.value();
}

template<class Element>
std::string join(const std::set<Element>& all)
{
    std::string text;
    for (const Element& it : all)
    {
        text.append(text.empty() ? "" : " ").append(describe(it));
    }
    return text;
}

} // namespace

stream_continuity::stream_continuity(net::io_context& context,
                                     const server_table& servers,
                                     const fleet_view& fleet)
    : m_context(context), m_servers(servers), m_fleet(fleet),
      m_started(monotonic_clock::now()), m_history(m_started),
      m_origins(max_streams), m_begun_here(max_streams)
{
}

void stream_continuity::on_configuration(const serving::configuration& it)
{
    std::vector<continuity::resumable_route> routes;
    for (const serving::route& route : it.routes)
    {
        if (route.kind != serving::request_kind::stream || !route.is_resumable)
        {
            continue;
        }
        m_longest_stream = std::max(m_longest_stream, route.timeout);
        continuity::resumable_route& listed = routes.emplace_back();
        listed.name = route.name;
        listed.covers = {route.host, route.path_prefix};
        for (const serving::service_share& share : route.services)
        {
            listed.services.insert(share.service);
        }
    }
    const time_point now = monotonic_clock::now();
    m_history.set_retention(m_longest_stream + list_lag);
    const auto before = m_history.current(now);
    m_history.on_routes(routes, now);
    on_origins_changed(before, now);
}

void stream_continuity::on_servers_changed()
{
    const time_point now = monotonic_clock::now();
    continuity::service_versions::sets listed;
    for (const auto& [id, record] : m_servers.records())
    {
        listed[record->entry.service].insert(record->entry.version);
    }
    const auto before = m_history.current(now);
    m_history.on_servers(std::move(listed), now);
    on_origins_changed(before, now);
}

void stream_continuity::on_origins_changed(
    const continuity::origin_history::record& before, time_point now)
{
    m_history.forget(now);
    m_is_any_withheld = m_history.is_any_withheld(now);
    const auto after = m_history.current(now);
    if (before == after)
    {
        return;
    }
    if (before.versions != after.versions)
    {
        for (const auto& [service, versions] : after.versions)
        {
            log_event(severity::info, event_number::service_versions_changed,
                      {{"service", service.value()},
                       {"versions", join(versions)},
                       {"is_past_known", m_history.is_past_known(now)}});
        }
    }
    if (before.services != after.services)
    {
        for (const auto& [path, services] : after.services)
        {
            log_event(severity::info, event_number::route_services_changed,
                      {{"host", path.host},
                       {"path", path.path},
                       {"services", join(services)},
                       {"is_past_known", m_history.is_past_known(now)}});
        }
    }
    // The holder was not told of streams that began while there was one origin,
    // and their keepers may have started again since.
    m_unrecorded = ambiguous(m_origins.all(now), now);
    tell(ambiguous(m_begun_here.all(now), now), now);
}

void stream_continuity::on_recorder_changed()
{
    const time_point now = monotonic_clock::now();
    m_unrecorded = ambiguous(m_origins.all(now), now);
    if (const peer* recorder = m_fleet.placement_holder())
    {
        send(recorder->digest.sender, m_unrecorded, now);
    }
}

void stream_continuity::on_recorded(
    const continuity::origin_history::record& it)
{
    const time_point now = monotonic_clock::now();
    m_history.on_recorded(it, now);
    m_is_any_withheld = m_history.is_any_withheld(now);
}

continuity::origin_history::record stream_continuity::origins_to_record() const
{
    auto it = m_history.current(monotonic_clock::now());
    it.is_ahead = waits_for_record() && do_others_wait_for_record();
    return it;
}

void stream_continuity::on_written(const continuity::origin_history::record& it)
{
    m_history.on_written(it);
    m_is_any_withheld = m_history.is_any_withheld(monotonic_clock::now());
}

bool stream_continuity::waits_for_record() const
{
    return m_history.is_record_known() ||
           monotonic_clock::now() < m_started + first_read_time;
}

bool stream_continuity::do_others_wait_for_record() const
{
    return std::all_of(m_fleet.peers().begin(), m_fleet.peers().end(),
                       [](const auto& it)
                       { return it.second.digest.waits_for_record; });
}

bool stream_continuity::is_any_withheld() const
{
    return m_is_any_withheld &&
           m_history.is_any_withheld(monotonic_clock::now());
}

bool stream_continuity::may_begin(const continuity::request_path& route,
                                  const service_id& service) const
{
    return !m_is_any_withheld ||
           m_history.may_begin(route, service, monotonic_clock::now());
}

bool stream_continuity::may_begin(const stream_origin& it) const
{
    return !m_is_any_withheld ||
           m_history.may_begin(it, monotonic_clock::now());
}

bool stream_continuity::is_past_known() const
{
    return m_history.is_past_known(monotonic_clock::now());
}

void stream_continuity::on_recorded(const stream_key& key,
                                    const stream_origin& origin)
{
    // It may have begun at any time until now.
    const time_point now = monotonic_clock::now();
    m_origins.on_begun({key, origin, now + m_longest_stream}, now);
}

std::vector<begun_stream> stream_continuity::take_unrecorded()
{
    return std::exchange(m_unrecorded, {});
}

std::vector<begun_stream>
stream_continuity::ambiguous(std::vector<begun_stream> streams,
                             time_point now) const
{
    std::erase_if(streams, [&](const begun_stream& it)
                  { return !m_history.is_ambiguous(it.origin.service, now); });
    return streams;
}

void stream_continuity::remember(const begun_stream& it, time_point now)
{
    if (!m_origins.find(it.key, now) && m_handlers.is_recorder() &&
        m_history.is_ambiguous(it.origin.service, now))
    {
        m_unrecorded.push_back(it);
    }
    m_origins.on_begun(it, now);
}

std::vector<stream_key>
stream_continuity::keys_of(const stream_identity& stream) const
{
    std::vector<stream_key> keys{
        continuity::key_of(stream.request, stream.organisation, stream.path)};
    const bool has_former_hosts = std::any_of(
        m_fleet.peers().begin(), m_fleet.peers().end(),
        [](const auto& it) { return !it.second.digest.names_streams_by_path; });
    if (has_former_hosts)
    {
        keys.push_back(continuity::key_by_route(
            stream.request,
            stream.is_route_public ? organisation_id() : stream.organisation,
            stream.route));
    }
    return keys;
}

std::optional<begun_stream>
stream_continuity::find(const std::vector<stream_key>& keys) const
{
    const time_point now = monotonic_clock::now();
    for (const stream_key& key : keys)
    {
        if (auto known = m_origins.find(key, now))
        {
            return known;
        }
    }
    return std::nullopt;
}

void stream_continuity::on_begun(const stream_identity& stream,
                                 const stream_origin& origin, time_point until)
{
    const time_point now = monotonic_clock::now();
    std::vector<begun_stream> begun;
    for (const stream_key& key : keys_of(stream))
    {
        begun.push_back({key, origin, until});
        remember(begun.back(), now);
        m_begun_here.on_begun(begun.back(), now);
    }
    // This host may be lost in the moment in which another origin becomes
    // possible, or before it has learnt of that.
    tell(begun, now);
}

bool stream_continuity::has_had_streams(
    const continuity::request_path& path) const
{
    return !m_history.origins(path, monotonic_clock::now()).empty();
}

std::vector<daemon_id> stream_continuity::keepers(const stream_key& stream,
                                                  std::size_t count) const
{
    std::vector<daemon_id> names;
    names.reserve(m_fleet.peers().size());
    for (const auto& [name, it] : m_fleet.peers())
    {
        names.emplace_back(name);
    }
    return continuity::select_keepers(stream, names, count);
}

void stream_continuity::add_recorder(std::vector<daemon_id>& to) const
{
    const peer* recorder = m_fleet.placement_holder();
    if (recorder == nullptr)
    {
        return;
    }
    const daemon_id name(recorder->digest.sender);
    if (std::find(to.begin(), to.end(), name) == to.end())
    {
        to.push_back(name);
    }
}

void stream_continuity::tell(const std::vector<begun_stream>& streams,
                             time_point now)
{
    std::map<daemon_id, std::vector<begun_stream>> by_keeper;
    for (const begun_stream& it : streams)
    {
        std::vector<daemon_id> to = keepers(it.key, continuity::keeper_count);
        if (m_history.is_ambiguous(it.origin.service, now))
        {
            add_recorder(to);
        }
        for (const daemon_id& name : to)
        {
            by_keeper[name].push_back(it);
        }
    }
    for (const auto& [name, kept] : by_keeper)
    {
        send(name.value(), kept, now);
    }
}

void stream_continuity::send(const std::string& to,
                             const std::vector<begun_stream>& streams,
                             time_point now)
{
    const http::endpoint address = m_fleet.peers().at(to).address;
    fleet::wire::Digest message;
    for (std::size_t n = 0; n < streams.size(); ++n)
    {
        message.begun_streams.push_back(to_wire(streams[n], now));
        if (message.begun_streams.size() == max_streams_per_message ||
            n + 1 == streams.size())
        {
            m_handlers.send(message, address);
            message.begun_streams.clear();
        }
    }
}

net::awaitable<std::optional<begun_stream>>
stream_continuity::read_record_again(std::vector<stream_key> keys)
{
    net::steady_timer written(m_context, longest_unrecorded);
    co_await written.async_wait(net::as_tuple(net::use_awaitable));
    co_await m_handlers.read_recorded();
    co_return find(keys);
}

net::awaitable<std::optional<stream_origin>>
stream_continuity::find_origin(request_id taken_up_by, stream_identity stream)
{
    const std::vector<stream_key> keys = keys_of(stream);
    auto known = find(keys);
    if (known)
    {
        co_return known->origin;
    }
    // A host that was cut off or stood still may have missed a version that has
    // begun streams meanwhile, so that its own list alone proves nothing.
    const question_pointer answers = co_await ask(keys);
    bool is_list_current = answers->is_list_current();
    bool is_record_read = false;
    known = find(keys);
    if (!known && !(is_list_current &&
                    m_history.sole_origin(stream.path, monotonic_clock::now())))
    {
        // The hosts that knew it may all have started again, or be lost.
        is_record_read = co_await m_handlers.read_recorded();
        is_list_current = is_list_current || is_record_read;
        known = find(keys);
    }
    if (known)
    {
        co_return known->origin;
    }
    const time_point now = monotonic_clock::now();
    const auto sole = m_history.sole_origin(stream.path, now);
    if (sole && is_list_current)
    {
        co_return sole;
    }
    // A host that the others do not hear may have begun it since.
    if (is_record_read && m_fleet.is_complete(now) &&
        m_history.sole_former_origin(stream.path, now))
    {
        known = co_await read_record_again(keys);
        const auto former =
            m_history.sole_former_origin(stream.path, monotonic_clock::now());
        if (known || former)
        {
            co_return known ? known->origin : *former;
        }
    }
    log_event(severity::warning, event_number::stream_origin_unknown,
              {{"request", taken_up_by.value()},
               {"route", stream.route.value()},
               {"stream", keys.front().value()},
               // Other streams that this host knows: if it keeps those that
               // were begun, this one may be known by another name.
               {"known_streams", m_origins.size()},
               {"asked", answers->asked},
               {"answered", answers->asked - answers->pending},
               {"is_list_current", is_list_current},
               {"is_record_read", is_record_read},
               {"origins", join(m_history.origins(stream.path, now))}});
    co_return std::nullopt;
}

net::awaitable<stream_continuity::question_pointer>
stream_continuity::ask(const std::vector<stream_key>& keys)
{
    question_pointer it;
    const auto known = m_questions.find(keys.front());
    if (known != m_questions.end())
    {
        it = known->second;
    }
    else
    {
        it = std::make_shared<question>(m_context);
        it->answered.expires_after(answer_limit);
        std::map<daemon_id, fleet::wire::Digest> questions;
        for (const stream_key& key : keys)
        {
            m_questions.insert_or_assign(key, it);
            std::vector<daemon_id> to = keepers(key, continuity::asked_count);
            add_recorder(to);
            for (const daemon_id& name : to)
            {
                ++it->asked;
                ++it->pending;
                questions[name].asked_streams.push_back(key.value());
            }
        }
        for (const auto& [name, message] : questions)
        {
            m_handlers.send(message, m_fleet.peers().at(name.value()).address);
        }
    }
    if (it->pending > 0)
    {
        co_await it->answered.async_wait(net::as_tuple(net::use_awaitable));
    }
    for (const stream_key& key : keys)
    {
        const auto mine = m_questions.find(key);
        if (mine != m_questions.end() && mine->second == it)
        {
            m_questions.erase(mine);
        }
    }
    co_return it;
}

void stream_continuity::on_answer(const stream_key& stream, bool is_known,
                                  object_version servers_changed)
{
    const auto asked = m_questions.find(stream);
    if (asked == m_questions.end())
    {
        return;
    }
    question& waiting = *asked->second;
    const bool is_newer = servers_changed > m_servers.changed_version();
    waiting.is_list_outdated = waiting.is_list_outdated || is_newer;
    waiting.is_list_confirmed = true;
    waiting.pending -= waiting.pending > 0 ? 1 : 0;
    if (is_known || waiting.pending == 0)
    {
        waiting.answered.cancel();
    }
}

void stream_continuity::on_message(const fleet::wire::Digest& it,
                                   const http::endpoint& from)
{
    const time_point now = monotonic_clock::now();
    for (const fleet::wire::BegunStream& told : it.begun_streams)
    {
        const stream_key key(told.key);
        const bool is_known = !told.service_name.empty();
        if (is_known)
        {
            remember({key,
                      stream_origin{service_id(told.service_name),
                                    software_version(told.version)},
                      now + milliseconds(std::max(0, told.left_ms))},
                     now);
        }
        on_answer(key, is_known,
                  object_version(
                      static_cast<std::uint64_t>(it.servers_changed_version)));
    }
    fleet::wire::Digest answer;
    for (const std::string& asked : it.asked_streams)
    {
        if (answer.begun_streams.size() >= max_streams_per_message)
        {
            break;
        }
        const auto known = m_origins.find(stream_key(asked), now);
        fleet::wire::BegunStream& told = answer.begun_streams.emplace_back();
        if (known)
        {
            told = to_wire(*known, now);
        }
        told.key = asked;
    }
    if (!answer.begun_streams.empty())
    {
        answer.servers_changed_version =
            static_cast<std::int64_t>(m_servers.changed_version().value());
        m_handlers.send(answer, from);
    }
}

} // namespace cicadahub::entry
