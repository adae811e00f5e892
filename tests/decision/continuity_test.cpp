#include "decision/continuity/keeper_selection.hpp"
#include "decision/continuity/origin_history.hpp"
#include "decision/continuity/stream_origins.hpp"

#include "simulation.hpp"

#include <gtest/gtest.h>

namespace cicadahub::continuity
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};
constexpr milliseconds retention{10'000};
const service_id service("models");
const software_version v1("v1");
const software_version v2("v2");

const request_path path{"trust.example", "/stream/"};
/// Covers the path too, unless there is a longer one.
const request_path shorter{"trust.example", "/"};
using routes = std::vector<resumable_route>;

service_versions::sets versions(std::set<software_version> of_service)
{
    return {{service, std::move(of_service)}};
}

routes leads_to(std::set<service_id> services)
{
    return {{route_id("route"), path, std::move(services)}};
}

/// What a host records that has seen these routes only.
origin_history::record record_of(service_versions::sets versions,
                                 const routes& all,
                                 std::set<request_path> settled = {})
{
    origin_history::record it{
        std::move(versions), {}, std::move(settled), {}, false};
    for (const resumable_route& route : all)
    {
        it.services[route.covers] = route.services;
        it.services_by_name[route.name] = route.services;
    }
    return it;
}

/// The history of one route that leads to one service.
origin_history history_of_route(time_point started)
{
    origin_history subject(started);
    subject.set_retention(retention);
    subject.on_routes(leads_to({service}), started);
    return subject;
}

std::optional<software_version> sole_version(const origin_history& it,
                                             time_point now)
{
    const auto origin = it.sole_origin(path, now);
    return origin ? std::optional(origin->version) : std::nullopt;
}

enum class past
{
    unread,
    /// As recorded before this host started.
    none,
    same,
    other,
};

struct version_case
{
    const char* name;
    past recorded;
    std::set<software_version> listed;
    milliseconds after;
    std::optional<software_version> sole;
};

void PrintTo(const version_case& it, std::ostream* out)
{
    *out << it.name;
}

class sole_versions : public testing::TestWithParam<version_case>
{
};

TEST_P(sole_versions, are_known_only_if_no_other_may_have_begun_streams)
{
    const version_case& it = GetParam();
    origin_history subject = history_of_route(start);
    if (it.recorded != past::unread)
    {
        subject.on_recorded(record_of(it.recorded == past::same ? versions({v1})
                                      : it.recorded == past::other
                                          ? versions({v2})
                                          : versions({}),
                                      leads_to({service})),
                            start);
    }
    subject.on_servers(versions(it.listed), start);
    EXPECT_EQ(sole_version(subject, start + it.after), it.sole);
}

INSTANTIATE_TEST_SUITE_P(
    origin_history, sole_versions,
    testing::Values(
        version_case{"one", past::none, {v1}, seconds(0), v1},
        version_case{"recorded_too", past::same, {v1}, seconds(0), v1},
        version_case{"two", past::none, {v1, v2}, seconds(0), std::nullopt},
        version_case{
            "two_for_long", past::none, {v1, v2}, seconds(60), std::nullopt},
        version_case{
            "other_recorded", past::other, {v1}, seconds(9), std::nullopt},
        version_case{
            "other_recorded_long_ago", past::other, {v1}, seconds(11), v1},
        version_case{
            "record_not_read", past::unread, {v1}, seconds(9), std::nullopt},
        version_case{"record_never_read", past::unread, {v1}, seconds(11), v1},
        version_case{"none", past::none, {}, seconds(0), std::nullopt}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(origin_history, keeps_a_version_whose_servers_left)
{
    origin_history subject = history_of_route(start);
    subject.on_recorded({}, start);
    subject.on_servers(versions({v1}), start);
    const time_point replaced = start + seconds(60);
    subject.on_servers(versions({v2}), replaced);
    EXPECT_FALSE(sole_version(subject, replaced));
    EXPECT_FALSE(sole_version(subject, replaced + retention));
    const time_point later = replaced + retention + milliseconds(1);
    EXPECT_EQ(sole_version(subject, later), v2);
    EXPECT_EQ(subject.current(later).versions, versions({v2}));
}

TEST(origin_history, does_not_shorten_the_time_for_streams_that_began)
{
    origin_history subject = history_of_route(start);
    subject.set_retention(seconds(1));
    subject.on_recorded(record_of(versions({v1, v2}), {}), start);
    EXPECT_FALSE(sole_version(subject, start + seconds(5)));
}

const service_id other_service("more-models");

struct reroute_case
{
    const char* name;
    /// At the start of the host, and as recorded then.
    routes before;
    routes after;
    /// From then on.
    milliseconds elapsed;
    std::optional<service_id> sole;
    bool is_ambiguous;
};

void PrintTo(const reroute_case& it, std::ostream* out)
{
    *out << it.name;
}

class rerouted_origins : public testing::TestWithParam<reroute_case>
{
};

// Guards against streams that are laid to the service to which their path leads
// now, although it led elsewhere when they began, and against streams that are
// given up although their path led to one service all the while (review/9).
TEST_P(rerouted_origins, are_known_only_if_no_other_service_may_have_begun)
{
    const reroute_case& it = GetParam();
    origin_history subject(start);
    subject.set_retention(retention);
    subject.on_servers({{service, {v1}}, {other_service, {v1}}}, start);
    subject.on_routes(it.before, start);
    subject.on_recorded(record_of(versions({v1}), it.before), start);
    const time_point changed = start + seconds(60);
    subject.on_routes(it.after, changed);
    const time_point now = changed + it.elapsed;
    const auto origin = subject.sole_origin(path, now);
    EXPECT_EQ(origin ? std::optional(origin->service) : std::nullopt, it.sole);
    EXPECT_EQ(subject.is_ambiguous(service, now), it.is_ambiguous);
}

const resumable_route short_route{route_id("short"), shorter, {service}};
const resumable_route short_to_other{
    route_id("short"), shorter, {other_service}};
const resumable_route long_route{route_id("route"), path, {service}};
const resumable_route long_to_other{route_id("route"), path, {other_service}};
const routes to_one = leads_to({service});
const routes to_other = leads_to({other_service});
const routes to_both = leads_to({service, other_service});
const routes by_former_name{{route_id("former"), path, {service}}};
const routes name_taken{
    {route_id("former"), {"trust.example", "/more/"}, {other_service}},
    long_route};
const routes of_other_host{
    {route_id("former"), {"other.example", "/stream/"}, {other_service}}};
constexpr milliseconds over = retention + milliseconds(1);

INSTANTIATE_TEST_SUITE_P(
    origin_history, rerouted_origins,
    testing::Values(
        reroute_case{"kept", to_one, to_one, seconds(0), service, false},
        reroute_case{"split", to_one, to_both, seconds(0), std::nullopt, true},
        reroute_case{"split_for_long", to_one, to_both, over, std::nullopt,
                     true},
        reroute_case{"moved", to_one, to_other, seconds(0), std::nullopt, true},
        reroute_case{"moved_long_ago", to_one, to_other, over, other_service,
                     true},
        reroute_case{"joined", to_both, to_one, seconds(9), std::nullopt, true},
        reroute_case{"joined_long_ago", to_both, to_one, over, service, false},
        reroute_case{"renamed", by_former_name, to_one, seconds(0), service,
                     false},
        reroute_case{"renamed_and_moved", by_former_name, to_other, seconds(9),
                     std::nullopt, true},
        reroute_case{"name_taken", by_former_name, name_taken, seconds(0),
                     service, false},
        reroute_case{"begun", of_other_host, to_one, seconds(0), service,
                     false},
        reroute_case{"added",
                     {short_route},
                     {short_route, long_route},
                     seconds(0),
                     service,
                     false},
        reroute_case{"added_elsewhere",
                     {short_route},
                     {short_route, long_to_other},
                     seconds(9),
                     std::nullopt,
                     true},
        reroute_case{"added_elsewhere_long_ago",
                     {short_route},
                     {short_route, long_to_other},
                     over,
                     other_service,
                     false},
        reroute_case{"removed",
                     {short_to_other, long_route},
                     {short_to_other},
                     seconds(9),
                     std::nullopt,
                     true},
        reroute_case{"removed_long_ago",
                     {short_to_other, long_route},
                     {short_to_other},
                     over,
                     other_service,
                     true},
        reroute_case{"shorter_moved",
                     {short_route, long_route},
                     {short_to_other, long_route},
                     seconds(0),
                     service,
                     true},
        reroute_case{"shorter_moved_behind_an_added_one",
                     {short_to_other},
                     {short_route, long_route},
                     seconds(9),
                     std::nullopt,
                     true}),
    [](const auto& it) { return std::string(it.param.name); });

struct restart_case
{
    const char* name;
    origin_history::record recorded;
    routes listed;
    milliseconds after;
    std::optional<service_id> sole;
};

void PrintTo(const restart_case& it, std::ostream* out)
{
    *out << it.name;
}

class recorded_routes : public testing::TestWithParam<restart_case>
{
};

// Guards against a host that lays streams to the service to which their path
// leads since a moment before the host started.
TEST_P(recorded_routes, tell_a_host_that_starts_what_they_led_to)
{
    const restart_case& it = GetParam();
    for (const bool is_record_first : {false, true})
    {
        origin_history subject(start);
        subject.set_retention(retention);
        if (is_record_first)
        {
            subject.on_recorded(it.recorded, start);
        }
        subject.on_servers({{service, {v1}}, {other_service, {v1}}}, start);
        subject.on_routes(it.listed, start);
        if (!is_record_first)
        {
            EXPECT_FALSE(subject.sole_origin(path, start));
            subject.on_recorded(it.recorded, start);
        }
        const auto origin = subject.sole_origin(path, start + it.after);
        EXPECT_EQ(origin ? std::optional(origin->service) : std::nullopt,
                  it.sole)
            << is_record_first;
    }
}

origin_history::record recorded(const routes& all,
                                std::set<request_path> settled = {})
{
    return record_of(versions({v1}), all, std::move(settled));
}

/// As a build records it that knows routes by their names only.
origin_history::record recorded_by_name(const routes& all)
{
    origin_history::record it = recorded(all);
    it.services.clear();
    return it;
}

INSTANTIATE_TEST_SUITE_P(
    origin_history, recorded_routes,
    testing::Values(
        restart_case{"same", recorded(to_one), to_one, seconds(0), service},
        restart_case{"moved", recorded(to_one), to_other, seconds(9),
                     std::nullopt},
        restart_case{"moved_long_ago", recorded(to_one), to_other, over,
                     other_service},
        restart_case{"split", recorded(to_one), to_both, over, std::nullopt},
        restart_case{"joined", recorded(to_both), to_one, seconds(9),
                     std::nullopt},
        restart_case{"renamed", recorded(by_former_name), to_one, seconds(0),
                     service},
        // Versions between may have led the path elsewhere.
        restart_case{"added",
                     recorded({short_route}),
                     {short_route, long_route},
                     seconds(9),
                     std::nullopt},
        restart_case{"added_long_ago",
                     recorded({short_route}),
                     {short_route, long_route},
                     over,
                     service},
        restart_case{"settled",
                     recorded({short_to_other, long_route}, {path}),
                     {short_to_other, long_route},
                     seconds(0),
                     service},
        restart_case{"not_settled",
                     recorded({short_to_other, long_route}),
                     {short_to_other, long_route},
                     seconds(9),
                     std::nullopt},
        restart_case{"not_settled_long_ago",
                     recorded({short_to_other, long_route}),
                     {short_to_other, long_route},
                     over,
                     service},
        restart_case{"same_by_name", recorded_by_name(to_one), to_one,
                     seconds(0), service},
        restart_case{"moved_by_name", recorded_by_name(to_one), to_other,
                     seconds(9), std::nullopt},
        restart_case{"renamed_by_name", recorded_by_name(by_former_name),
                     to_one, seconds(9), std::nullopt},
        restart_case{"renamed_by_name_long_ago",
                     recorded_by_name(by_former_name), to_one, over, service},
        restart_case{"added_by_name",
                     recorded_by_name({short_route}),
                     {short_route, long_route},
                     seconds(9),
                     std::nullopt},
        // The first host, or a build that recorded no routes.
        restart_case{"without_routes", recorded({}), to_one, seconds(0),
                     service}),
    [](const auto& it) { return std::string(it.param.name); });

struct former_case
{
    const char* name;
    origin_history::record recorded;
    /// All hosts begin streams at recorded origins only.
    bool is_ahead;
    std::set<software_version> versions;
    routes listed;
    milliseconds after;
    std::optional<software_version> former;
    /// Streams may begin at once, at the other service and at version 2.
    bool may_begin_at_service;
    bool may_begin_at_version;
};

void PrintTo(const former_case& it, std::ostream* out)
{
    *out << it.name;
}

class former_origins : public testing::TestWithParam<former_case>
{
};

// Guards against streams that nobody takes up again since all hosts were lost
// as their route was split (review/12), and against streams that go on at
// another service because one was used before the record had it.
TEST_P(former_origins, are_those_that_were_recorded_before_they_were_used)
{
    const former_case& it = GetParam();
    origin_history subject(start);
    subject.set_retention(retention);
    origin_history::record read = it.recorded;
    read.is_ahead = it.is_ahead;
    subject.on_recorded(read, start);
    subject.on_servers({{service, it.versions}, {other_service, {v1}}}, start);
    subject.on_routes(it.listed, start);
    EXPECT_EQ(subject.may_begin(path, other_service, start),
              it.may_begin_at_service);
    EXPECT_EQ(subject.may_begin({service, v2}, start), it.may_begin_at_version);
    EXPECT_EQ(subject.is_any_withheld(start),
              !it.may_begin_at_service || !it.may_begin_at_version);
    const auto former = subject.sole_former_origin(path, start + it.after);
    EXPECT_EQ(former ? std::optional(former->version) : std::nullopt,
              it.former);
    subject.on_written(subject.current(start));
    EXPECT_FALSE(subject.is_any_withheld(start));
    EXPECT_TRUE(subject.may_begin(path, other_service, start));
    // What was recorded later says nothing of streams that began before.
    EXPECT_EQ(subject.sole_former_origin(path, start + it.after), former);
}

INSTANTIATE_TEST_SUITE_P(
    origin_history, former_origins,
    testing::Values(
        former_case{"split",
                    recorded(to_one),
                    true,
                    {v1},
                    to_both,
                    seconds(9),
                    v1,
                    false,
                    true},
        former_case{"split_long_ago",
                    recorded(to_one),
                    true,
                    {v1},
                    to_both,
                    over,
                    std::nullopt,
                    false,
                    true},
        former_case{"split_beside_former_builds",
                    recorded(to_one),
                    false,
                    {v1},
                    to_both,
                    seconds(9),
                    std::nullopt,
                    false,
                    true},
        former_case{"split_and_recorded",
                    recorded(to_both),
                    true,
                    {v1},
                    to_both,
                    seconds(9),
                    std::nullopt,
                    true,
                    true},
        // Nothing that is recorded may be used, so that nobody waits.
        former_case{"moved",
                    recorded(to_one),
                    true,
                    {v1},
                    to_other,
                    seconds(9),
                    std::nullopt,
                    true,
                    true},
        former_case{"new_version",
                    recorded(to_one),
                    true,
                    {v1, v2},
                    to_one,
                    seconds(9),
                    v1,
                    true,
                    false},
        former_case{"replaced_version",
                    recorded(to_one),
                    true,
                    {v2},
                    to_one,
                    seconds(9),
                    std::nullopt,
                    true,
                    true},
        former_case{"added",
                    recorded({short_route}),
                    true,
                    {v1},
                    {short_route, long_route},
                    seconds(9),
                    std::nullopt,
                    true,
                    true},
        former_case{"split_and_renamed",
                    recorded(by_former_name),
                    true,
                    {v1},
                    to_both,
                    seconds(9),
                    v1,
                    false,
                    true}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(origin_history, withholds_no_origin_for_ever)
{
    using held = withheld_values<request_path, service_id>;
    held subject;
    subject.on_recorded({{path, {service}}});
    subject.on_listed({{path, {service, other_service}}}, start);
    const time_point end = start + held::longest_hold;
    EXPECT_TRUE(
        subject.is_withheld(path, other_service, end - milliseconds(1)));
    EXPECT_FALSE(subject.is_withheld(path, other_service, end));
}

TEST(origin_history, withholds_again_what_the_record_has_dropped)
{
    withheld_values<request_path, service_id> subject;
    subject.on_recorded({{path, {service, other_service}}});
    subject.on_listed({{path, {service}}}, start);
    subject.forget({{path, {service}}});
    subject.on_listed({{path, {service, other_service}}}, start + seconds(60));
    EXPECT_TRUE(subject.is_withheld(path, other_service, start + seconds(60)));
}

stream_key key(const std::string& request)
{
    return key_of(request_id(request), organisation_id("trust"),
                  {"trust.example", "/stream/x"});
}

begun_stream stream(const std::string& request, time_point until,
                    const software_version& version = v1)
{
    return {key(request), {service, version}, until};
}

struct lookup_case
{
    const char* name;
    const char* request;
    const char* organisation;
    request_path path;
    milliseconds after;
    bool is_found;
};

void PrintTo(const lookup_case& it, std::ostream* out)
{
    *out << it.name;
}

class stream_lookups : public testing::TestWithParam<lookup_case>
{
};

TEST_P(stream_lookups, find_only_the_callers_own_stream)
{
    const lookup_case& it = GetParam();
    stream_origins subject(10);
    subject.on_begun(stream("r", start + seconds(1)), start);
    const auto found =
        subject.find(key_of(request_id(it.request),
                            organisation_id(it.organisation), it.path),
                     start + it.after);
    EXPECT_EQ(found.has_value(), it.is_found);
}

const request_path of_stream{"trust.example", "/stream/x"};

INSTANTIATE_TEST_SUITE_P(
    stream_origins, stream_lookups,
    testing::Values(
        lookup_case{"known", "r", "trust", of_stream, seconds(1), true},
        lookup_case{"unknown", "s", "trust", of_stream, seconds(0), false},
        lookup_case{"other_organisation", "r", "other", of_stream, seconds(0),
                    false},
        lookup_case{"other_path",
                    "r",
                    "trust",
                    {"trust.example", "/stream/y"},
                    seconds(0),
                    false},
        lookup_case{"other_host",
                    "r",
                    "trust",
                    {"other.example", "/stream/x"},
                    seconds(0),
                    false},
        lookup_case{"over", "r", "trust", of_stream, seconds(2), false}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against hosts that don't find streams at hosts of a build that names
// them by their route.
TEST(stream_keys, by_route_are_those_of_former_builds)
{
    EXPECT_EQ(key_by_route(request_id("r"), organisation_id("trust"),
                           route_id("route"))
                  .value(),
              "8a0911030927f3b4");
}

TEST(stream_origins, relies_on_none_that_is_contradicted)
{
    stream_origins subject(10);
    subject.on_begun(stream("r", start + seconds(1), v1), start);
    subject.on_begun(stream("r", start + seconds(1), v1), start);
    EXPECT_TRUE(subject.find(key("r"), start));
    subject.on_begun(stream("r", start + seconds(1), v2), start);
    EXPECT_FALSE(subject.find(key("r"), start));
    EXPECT_TRUE(subject.all(start).empty());
}

TEST(stream_origins, is_bounded_and_forgets_the_streams_that_end_first)
{
    constexpr std::size_t capacity = 3;
    stream_origins subject(capacity);
    for (int n = 5; n > 0; --n)
    {
        subject.on_begun(stream("r" + std::to_string(n), start + seconds(n)),
                         start);
    }
    EXPECT_EQ(subject.size(), capacity);
    EXPECT_TRUE(subject.find(key("r5"), start));
    EXPECT_FALSE(subject.find(key("r1"), start));
    subject.on_begun(stream("r9", start + seconds(90)), start + seconds(60));
    EXPECT_EQ(subject.size(), 1U);
}

/// Hosts that begin streams while a service is replaced, are lost and start
/// again, and take up each other's streams. What a host tells or asks may be
/// lost; the record of versions may be a moment late. If `is_ahead`, versions
/// are recorded before they are used, and streams while there are several.
class continuity_run
{
public:
    continuity_run(std::uint64_t seed, std::size_t hosts, bool is_ahead)
        : m_simulation(seed), m_is_ahead(is_ahead), m_hosts(hosts)
    {
        m_record.is_ahead = is_ahead;
        for (std::size_t n = 0; n < hosts; ++n)
        {
            restart(n);
        }
    }

    void run()
    {
        const int steps = m_is_ahead ? 12'000 : 4'000;
        for (int step = 0; step < steps; ++step)
        {
            m_now += milliseconds(5);
            replace_servers();
            write_records();
            if (m_simulation.happens(0.004))
            {
                restart(pick());
            }
            if (m_simulation.happens(0.001))
            {
                restart_all();
            }
            begin_stream(pick());
            take_up(pick());
        }
    }

    std::size_t taken_up = 0;
    std::size_t gone_on = 0;
    std::size_t gone_on_by_former_origin = 0;

private:
    struct host
    {
        origin_history history{start};
        stream_origins origins{1'000};
    };

    std::size_t pick()
    {
        return static_cast<std::size_t>(m_simulation.pick(
            0, static_cast<std::int64_t>(m_hosts.size()) - 1));
    }

    void restart(std::size_t n)
    {
        m_hosts[n] = host{origin_history(m_now), stream_origins(1'000)};
        m_hosts[n].history.set_retention(retention);
        m_hosts[n].history.on_routes(leads_to({service}), m_now);
        m_hosts[n].history.on_recorded(m_record, m_now);
        m_hosts[n].history.on_servers(versions(m_listed), m_now);
        for (host& it : m_hosts)
        {
            it.history.on_host_started(m_now);
        }
    }

    void restart_all()
    {
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            restart(n);
        }
    }

    void replace_servers()
    {
        // The record has one version only where none has left for long.
        if (!m_simulation.happens(m_is_ahead ? 0.0004 : 0.002))
        {
            return;
        }
        const auto version = [](std::int64_t n)
        {
            return software_version("v" + std::to_string(n));
        };
        // The new servers start first.
        if (m_listed.size() > 1)
        {
            m_listed.erase(m_listed.begin());
        }
        else
        {
            m_listed.insert(version(++m_newest));
        }
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            m_hosts[n].history.on_servers(versions(m_listed), m_now);
            for (const begun_stream& it : m_hosts[n].origins.all(m_now))
            {
                tell(it);
            }
        }
        if (m_is_ahead)
        {
            m_write_at = m_now + m_simulation.pick_ms(0, 400);
            if (m_simulation.happens(0.3))
            {
                restart_all();
            }
            return;
        }
        m_record = m_hosts[pick()].history.current(m_now);
    }

    void write_records()
    {
        if (m_write_at && m_now >= *m_write_at)
        {
            m_write_at.reset();
            m_record = m_hosts[pick()].history.current(m_now);
            m_record.is_ahead = true;
        }
        for (host& it : m_hosts)
        {
            if (m_is_ahead && it.history.is_any_withheld(m_now) &&
                m_simulation.happens(0.05))
            {
                it.history.on_written(m_record);
            }
        }
        if (m_now >= m_streams_written_at + milliseconds(300))
        {
            m_streams_written_at = m_now;
            for (const begun_stream& it : m_unrecorded)
            {
                m_recorded.on_begun(it, m_now);
            }
            m_unrecorded.clear();
        }
    }

    std::vector<daemon_id> names() const
    {
        std::vector<daemon_id> names;
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
        {
            names.emplace_back(std::to_string(n));
        }
        return names;
    }

    void tell(const begun_stream& it)
    {
        for (const daemon_id& to :
             select_keepers(it.key, names(), keeper_count))
        {
            if (!m_simulation.happens(0.1))
            {
                m_hosts[std::stoul(to.value())].origins.on_begun(it, m_now);
            }
        }
    }

    void begin_stream(std::size_t at)
    {
        std::vector<software_version> usable;
        for (const software_version& it : m_listed)
        {
            if (m_hosts[at].history.may_begin({service, it}, m_now))
            {
                usable.push_back(it);
            }
        }
        const auto n = static_cast<std::size_t>(
            m_simulation.pick(0, static_cast<std::int64_t>(usable.size()) - 1));
        begun_stream it = stream("r" + std::to_string(m_begun.size()),
                                 m_now + retention / 2, usable[n]);
        if (!sole_version(m_hosts[at].history, m_now))
        {
            tell(it);
            m_unrecorded.push_back(it);
        }
        m_hosts[at].origins.on_begun(it, m_now);
        m_begun.push_back(std::move(it));
    }

    void take_up(std::size_t at)
    {
        // Two seconds, so that some have begun before their hosts were lost.
        const std::int64_t newest = m_is_ahead ? 400 : 100;
        const begun_stream& it =
            m_begun[static_cast<std::size_t>(m_simulation.pick(
                std::max<std::int64_t>(
                    0, static_cast<std::int64_t>(m_begun.size()) - newest),
                static_cast<std::int64_t>(m_begun.size()) - 1))];
        host& self = m_hosts[at];
        ++taken_up;
        std::optional<software_version> found =
            sole_version(self.history, m_now);
        if (!found)
        {
            for (const daemon_id& asked :
                 select_keepers(it.key, names(), asked_count))
            {
                const auto known =
                    m_hosts[std::stoul(asked.value())].origins.find(it.key,
                                                                    m_now);
                if (known && !m_simulation.happens(0.1))
                {
                    self.origins.on_begun(*known, m_now);
                }
            }
            auto known = self.origins.find(it.key, m_now);
            if (!known && m_is_ahead)
            {
                known = m_recorded.find(it.key, m_now);
            }
            const auto former = self.history.sole_former_origin(path, m_now);
            if (known)
            {
                found = known->origin.version;
            }
            // The host waits until younger streams are recorded.
            else if (former &&
                     it.until - retention / 2 < m_now - milliseconds(600))
            {
                found = former->version;
                ++gone_on_by_former_origin;
            }
        }
        gone_on += found ? 1 : 0;
        if (found)
        {
            EXPECT_EQ(*found, it.origin.version) << it.key;
        }
    }

    fakes::simulation m_simulation;
    bool m_is_ahead;
    time_point m_now = start;
    std::set<software_version> m_listed{software_version("v10")};
    std::int64_t m_newest = 10;
    origin_history::record m_record =
        record_of(versions({software_version("v10")}), leads_to({service}));
    std::vector<host> m_hosts;
    std::vector<begun_stream> m_begun;
    std::optional<time_point> m_write_at;
    time_point m_streams_written_at = start;
    std::vector<begun_stream> m_unrecorded;
    stream_origins m_recorded{10'000};
};

struct run_case
{
    std::size_t hosts;
    bool is_ahead;
};

void PrintTo(const run_case& it, std::ostream* out)
{
    *out << it.hosts << (it.is_ahead ? "_ahead" : "");
}

class continuity_runs : public testing::TestWithParam<run_case>
{
};

// Guards against a stream that goes on at another version than began it.
TEST_P(continuity_runs, join_no_versions)
{
    std::size_t by_former_origin = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed)
    {
        continuity_run run(seed, GetParam().hosts, GetParam().is_ahead);
        run.run();
        EXPECT_GT(run.gone_on, run.taken_up / 4) << seed;
        by_former_origin += run.gone_on_by_former_origin;
    }
    EXPECT_EQ(by_former_origin > 0, GetParam().is_ahead);
}

INSTANTIATE_TEST_SUITE_P(stream_origins, continuity_runs,
                         testing::Values(run_case{1, false}, run_case{3, false},
                                         run_case{9, false},
                                         run_case{74, false}, run_case{1, true},
                                         run_case{3, true}, run_case{9, true}));

} // namespace
} // namespace cicadahub::continuity
