#include "stream_calls.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

/// A stream of eight events takes 1.2 s.
constexpr milliseconds event_gap{150};
constexpr milliseconds short_gap{60};
/// Longer than it takes to record in the store that a stream has begun.
constexpr milliseconds few_events{700};

/// Runs engines of two software versions, or of one and the same, that hold m1.
class upgraded_fleet
{
public:
    explicit upgraded_fleet(const std::string& other_version = "v2",
                            int daemons = 4)
        : fleet(daemons)
    {
        fleet.add_worker("engines", "e3", preloaded("v1"));
        fleet.add_worker("engines", "n1", preloaded(other_version));
        fleet.add_worker("engines", "n2", preloaded(other_version));
        wait_until_listed();
    }

    static std::vector<std::string> preloaded(const std::string& version)
    {
        return {"--megabytes",        "250",  "--preload", "m1",
                "--software-version", version};
    }

    /// Until all hosts know the servers.
    static void wait_until_listed()
    {
        std::this_thread::sleep_for(milliseconds(1'500));
    }

    /// A stream that one of the old servers began at the host, which is killed
    /// meanwhile; empty if it went to a new one.
    std::future<raw_answer> begin(std::size_t host, const std::string& id) const
    {
        return std::async(std::launch::async,
                          [this, host, id] {
                              return ask_stream(fleet, host, {id, {}, {}});
                          });
    }

    /// The old servers leave without a word.
    void remove_old_servers()
    {
        for (std::size_t n = 0; n < fleet.engines.size(); ++n)
        {
            const auto& it = fleet.engines[n];
            if (it.id.starts_with("e"))
            {
                it.program->kill();
                call(fleet.store, http::verb::delete_,
                     "/v1/objects/servers/" + it.id);
            }
        }
    }

    platform_fleet fleet;
};

// Guards against a response with events of two software versions, after its
// first server broke the stream off.
TEST(stream_versions, are_not_joined_within_a_response)
{
    upgraded_fleet upgraded;
    const platform_fleet& fleet = upgraded.fleet;
    std::vector<std::string> breaking;
    for (const auto& it : fleet.engines)
    {
        if (it.id == "e1" || it.id == "n1")
        {
            breaking.push_back(it.address);
        }
    }
    std::size_t whole = 0;
    constexpr std::size_t streams = 24;
    for (std::size_t n = 0; n < streams; ++n)
    {
        // One server of each version breaks off, another one can go on.
        for (const std::string& it : breaking)
        {
            fleet.set_fault(it, R"({"break_streams":1})");
        }
        const raw_answer got =
            ask_stream(fleet, 0, {"r" + std::to_string(n), {}, {}});
        EXPECT_FALSE(has_old(got) && has_new(got)) << got.bytes;
        whole += is_whole(got) ? 1 : 0;
    }
    EXPECT_GE(whole, streams * 3 / 4);
}

struct loss_case
{
    const char* name;
    /// What happens to the host that serves the stream.
    enum class loss
    {
        killed,
        frozen,
        restarted,
        all_restarted,
    } what;
    std::string other_version;
    /// The servers of the first version leave before the stream is taken up.
    bool do_old_servers_leave;
    /// Least share of the streams taken up that go on.
    double least_share;
    /// The store answers nobody while the streams begin.
    bool is_store_away = false;
    /// One object of the record can't be read.
    bool has_odd_record = false;
};

void PrintTo(const loss_case& it, std::ostream* out)
{
    *out << it.name;
}

class streams_taken_up : public testing::TestWithParam<loss_case>
{
protected:
    using loss = loss_case::loss;

    static void set_store_away(const platform_fleet& fleet, bool it)
    {
        boost::json::array refused;
        for (const auto& host : fleet.daemons)
        {
            if (it)
            {
                refused.emplace_back(host.name);
            }
        }
        fleet.set_fault(fleet.store, boost::json::serialize(boost::json::object{
                                         {"refuse", std::move(refused)}}));
    }

    static void write_odd_record(const platform_fleet& fleet)
    {
        const std::string object = R"({"metadata":{"name":"7"},"spec":{)"
                                   R"("content":{"streams":[3]},"marks":[]}})";
        EXPECT_EQ(call(fleet.store, http::verb::post,
                       "/v1/objects/cicadahub-streams", object)
                      .status,
                  201U);
    }

    static void lose_hosts(platform_fleet& fleet, loss what)
    {
        if (what == loss::frozen)
        {
            fleet.daemons[0].program->pause();
            return;
        }
        const std::size_t lost =
            what == loss::all_restarted ? fleet.daemons.size() : 1;
        for (std::size_t n = 0; n < lost; ++n)
        {
            fleet.daemons[n].program->kill();
        }
        if (what == loss::killed)
        {
            return;
        }
        for (std::size_t n = 0; n < lost; ++n)
        {
            fleet.start_daemon(n);
        }
        for (std::size_t n = 0; n < lost; ++n)
        {
            EXPECT_TRUE(eventually([&] { return fleet.is_ready(n); }));
        }
    }
};

// Guards against text that is joined from two software versions over a caller's
// tries, when the hosts have lost what they knew.
TEST_P(streams_taken_up, go_on_at_the_version_that_began_them)
{
    const loss_case& it = GetParam();
    upgraded_fleet upgraded(it.other_version);
    platform_fleet& fleet = upgraded.fleet;
    constexpr std::size_t streams = 12;
    set_pace(fleet.engines, 2 * event_gap);
    set_store_away(fleet, it.is_store_away);
    if (it.has_odd_record)
    {
        write_odd_record(fleet);
    }
    std::vector<std::future<raw_answer>> begun;
    for (std::size_t n = 0; n < streams; ++n)
    {
        begun.push_back(upgraded.begin(0, "s" + std::to_string(n)));
    }
    EXPECT_TRUE(eventually(
        [&]
        { return fleet.engine_total("running") == std::int64_t{streams}; }));
    std::this_thread::sleep_for(few_events);
    if (it.is_store_away)
    {
        set_store_away(fleet, false);
        std::this_thread::sleep_for(few_events);
    }
    if (it.do_old_servers_leave)
    {
        upgraded.remove_old_servers();
    }
    lose_hosts(fleet, it.what);
    if (it.what != loss::frozen)
    {
        // All are taken up, one after the other, within the time of a stream.
        set_pace(fleet.engines, short_gap);
    }
    std::size_t taken_up = 0;
    std::size_t gone_on = 0;
    const auto take_up = [&](std::size_t n, const raw_answer& first)
    {
        const std::size_t events =
            count_occurrences(first.bytes, "data: piece");
        if (is_whole(first) || events == 0)
        {
            return;
        }
        ++taken_up;
        const raw_answer rest =
            ask_stream(fleet, 1 + n % 3,
                       {"t" + std::to_string(n), "s" + std::to_string(n),
                        std::to_string(events)});
        EXPECT_FALSE(has_old(first) && has_new(rest)) << rest.bytes;
        EXPECT_FALSE(has_new(first) && has_old(rest)) << rest.bytes;
        gone_on += rest.status() == 200 && is_whole(rest) ? 1 : 0;
        if (rest.status() != 200)
        {
            EXPECT_EQ(rest.status(), 503U) << rest.bytes;
            EXPECT_NE(rest.bytes.find("not_run"), std::string::npos);
        }
    };
    std::vector<raw_answer> rests(streams);
    if (it.what == loss::frozen)
    {
        // Its callers see nothing more before the host goes on.
        for (std::size_t n = 0; n < streams; ++n)
        {
            rests[n] = ask_stream(
                fleet, 1 + n % 3,
                {"t" + std::to_string(n), "s" + std::to_string(n), "2"});
        }
        fleet.daemons[0].program->resume();
    }
    for (std::size_t n = 0; n < streams; ++n)
    {
        const raw_answer first = begun[n].get();
        if (it.what != loss::frozen)
        {
            take_up(n, first);
            continue;
        }
        ++taken_up;
        gone_on += rests[n].status() == 200 && is_whole(rests[n]) ? 1 : 0;
        EXPECT_FALSE(has_old(first) && has_new(rests[n])) << rests[n].bytes;
        EXPECT_FALSE(has_new(first) && has_old(rests[n])) << rests[n].bytes;
    }
    std::cout << gone_on << " of " << taken_up << " went on\n";
    EXPECT_GE(taken_up, streams / 2);
    EXPECT_GE(static_cast<double>(gone_on),
              it.least_share * static_cast<double>(taken_up));
}

INSTANTIATE_TEST_SUITE_P(
    stream_versions, streams_taken_up,
    testing::Values(
        loss_case{"host_killed", loss_case::loss::killed, "v2", false, 0.9},
        loss_case{"host_frozen", loss_case::loss::frozen, "v2", false, 0.9},
        loss_case{"host_restarted", loss_case::loss::restarted, "v2", false,
                  0.9},
        loss_case{"all_hosts_restarted", loss_case::loss::all_restarted, "v2",
                  false, 0.5},
        loss_case{"old_servers_left_and_all_hosts_restarted",
                  loss_case::loss::all_restarted, "v2", true, 0},
        loss_case{"all_hosts_restarted_after_an_outage_of_the_store",
                  loss_case::loss::all_restarted, "v2", false, 0.5, true},
        loss_case{"all_hosts_restarted_beside_an_odd_record",
                  loss_case::loss::all_restarted, "v2", false, 0.5, false,
                  true},
        loss_case{"one_version_and_all_hosts_restarted",
                  loss_case::loss::all_restarted, "v1", false, 0.9}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a stream that goes on at another version, taken up at a host
// that stood still while the servers which began it joined.
TEST(stream_versions, are_not_joined_by_a_host_that_missed_a_version)
{
    constexpr std::size_t frozen_from = 3;
    constexpr std::size_t streams = 36;
    platform_fleet fleet(6);
    fleet.add_worker("engines", "e3", upgraded_fleet::preloaded("v1"));
    // All hosts have read that there is one version only.
    std::this_thread::sleep_for(seconds(5));
    for (std::size_t n = frozen_from; n < fleet.daemons.size(); ++n)
    {
        fleet.daemons[n].program->pause();
    }
    for (const char* id : {"n1", "n2", "n3", "n4"})
    {
        fleet.add_worker("engines", id, upgraded_fleet::preloaded("v2"));
    }
    upgraded_fleet::wait_until_listed();
    for (const auto& it : fleet.engines)
    {
        fleet.set_fault(it.address, R"({"event_gap_ms":300})");
    }
    std::vector<std::future<raw_answer>> begun;
    for (std::size_t n = 0; n < streams; ++n)
    {
        begun.push_back(std::async(
            std::launch::async,
            [&fleet, n] {
                return ask_stream(fleet, 0, {"s" + std::to_string(n), {}, {}});
            }));
    }
    std::this_thread::sleep_for(few_events);
    fleet.daemons[0].program->kill();
    std::vector<raw_answer> first;
    std::vector<std::future<raw_answer>> rest;
    for (std::size_t n = 0; n < streams; ++n)
    {
        first.push_back(begun[n].get());
        const std::size_t host =
            frozen_from + n % (fleet.daemons.size() - frozen_from);
        const stream_call again{
            "t" + std::to_string(n), "s" + std::to_string(n),
            std::to_string(count_occurrences(first[n].bytes, "data: piece"))};
        rest.push_back(std::async(std::launch::async, [&fleet, host, again]
                                  { return ask_stream(fleet, host, again); }));
    }
    // The requests have arrived before the hosts go on.
    std::this_thread::sleep_for(milliseconds(200));
    for (std::size_t n = frozen_from; n < fleet.daemons.size(); ++n)
    {
        fleet.daemons[n].program->resume();
    }
    std::size_t of_missed_version = 0;
    std::size_t gone_on = 0;
    for (std::size_t n = 0; n < streams; ++n)
    {
        const raw_answer got = rest[n].get();
        of_missed_version += has_new(first[n]) ? 1 : 0;
        gone_on += got.status() == 200 ? 1 : 0;
        EXPECT_FALSE(has_new(first[n]) && has_old(got)) << got.bytes;
        EXPECT_FALSE(has_old(first[n]) && has_new(got)) << got.bytes;
        EXPECT_TRUE(got.status() == 200 || got.status() == 503) << got.bytes;
    }
    EXPECT_GT(of_missed_version, 0U);
    std::cout << of_missed_version << " of a version that they missed, "
              << gone_on << " of " << streams << " went on\n";
}

struct stream_result
{
    bool has_begun = false;
    /// It broke off and was taken up.
    bool is_taken_up = false;
    bool is_complete = false;
    bool is_joined = false;
};

/// Reads a stream as a caller does that takes it up at the next host each time
/// that it breaks off.
stream_result read_stream(const platform_fleet& fleet, std::size_t host,
                          const std::string& id)
{
    constexpr std::size_t max_tries = 4;
    raw_answer all = ask_stream(fleet, host, {id, {}, {}});
    std::size_t events = count_occurrences(all.bytes, "data: piece");
    stream_result result;
    result.has_begun = events > 0;
    result.is_complete = is_whole(all);
    for (std::size_t n = 1;
         n < max_tries && result.has_begun && !result.is_complete; ++n)
    {
        result.is_taken_up = true;
        const raw_answer rest = ask_stream(
            fleet, (host + n) % fleet.daemons.size(),
            {id + "-" + std::to_string(n), id, std::to_string(events)});
        events += count_occurrences(rest.bytes, "data: piece");
        result.is_complete = rest.status() == 200 && is_whole(rest);
        all.bytes += rest.bytes;
        if (rest.status() != 200)
        {
            std::this_thread::sleep_for(event_gap);
        }
    }
    result.is_joined = has_old(all) && has_new(all);
    return result;
}

// Guards against streams that can't go on because what they run is loaded at
// servers of another version only.
TEST(stream_versions, cause_a_load_at_the_version_that_began_them)
{
    upgraded_fleet upgraded;
    platform_fleet& fleet = upgraded.fleet;
    std::size_t taken_up = 0;
    std::size_t gone_on = 0;
    for (const auto& engine : fleet.engines)
    {
        fleet.set_fault(engine.address, R"({"event_gap_ms":)" +
                                            std::to_string(event_gap.count()) +
                                            "}");
    }
    std::vector<std::future<stream_result>> begun;
    constexpr std::size_t streams = 12;
    for (std::size_t n = 0; n < streams; ++n)
    {
        begun.push_back(std::async(std::launch::async,
                                   [&fleet, n]
                                   {
                                       return read_stream(
                                           fleet, n % fleet.daemons.size(),
                                           "s" + std::to_string(n));
                                   }));
    }
    std::this_thread::sleep_for(few_events);
    // Of the old version, only the server without the model is left.
    for (const auto& it : fleet.engines)
    {
        if (it.id == "e1" || it.id == "e3")
        {
            it.program->kill();
            call(fleet.store, http::verb::delete_,
                 "/v1/objects/servers/" + it.id);
        }
    }
    for (auto& it : begun)
    {
        const stream_result got = it.get();
        EXPECT_FALSE(got.is_joined);
        taken_up += got.is_taken_up ? 1 : 0;
        gone_on += got.is_taken_up && got.is_complete ? 1 : 0;
    }
    std::cout << gone_on << " of " << taken_up << " went on\n";
    EXPECT_GT(taken_up, 0U);
    EXPECT_EQ(gone_on, taken_up);
}

struct replacement_case
{
    const char* name;
    /// A server starts again with the new version under its id, instead of a
    /// new server beside it.
    bool keeps_ids;
    bool loses_hosts;
    bool resets_links;
};

void PrintTo(const replacement_case& it, std::ostream* out)
{
    *out << it.name;
}

/// Callers that take up each stream that breaks off, at the next host, until
/// they are stopped.
class persistent_callers
{
public:
    persistent_callers(const platform_fleet& fleet, std::size_t count)
        : m_fleet(fleet)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            m_threads.emplace_back([this, n] { run(n); });
        }
    }

    void stop()
    {
        m_is_over = true;
        for (std::thread& it : m_threads)
        {
            it.join();
        }
        m_threads.clear();
    }

    std::atomic<std::size_t> begun = 0;
    std::atomic<std::size_t> asked = 0;
    std::atomic<std::size_t> taken_up = 0;
    std::atomic<std::size_t> gone_on = 0;
    std::atomic<std::size_t> joined = 0;

private:
    void run(std::size_t caller)
    {
        for (std::size_t n = 0; !m_is_over; ++n)
        {
            const std::string id =
                "c" + std::to_string(caller) + "-" + std::to_string(n);
            try
            {
                const stream_result it =
                    read_stream(m_fleet, caller % m_fleet.daemons.size(), id);
                ++asked;
                begun += it.has_begun ? 1 : 0;
                taken_up += it.is_taken_up ? 1 : 0;
                gone_on += it.is_taken_up && it.is_complete ? 1 : 0;
                joined += it.is_joined ? 1 : 0;
            }
            catch (const boost::system::system_error&)
            {
                // The host has just been lost.
                std::this_thread::sleep_for(event_gap);
            }
        }
    }

    const platform_fleet& m_fleet;
    std::atomic<bool> m_is_over = false;
    std::vector<std::thread> m_threads;
};

class replaced_services : public testing::TestWithParam<replacement_case>
{
protected:
    /// Replaces the engine by one of the new version that holds nothing, or
    /// the model if it comes beside it.
    static void replace(platform_fleet& fleet, std::size_t n)
    {
        const std::string id = fleet.engines[n].id;
        if (GetParam().keeps_ids)
        {
            fleet.restart_worker(
                n, {"--megabytes", "250", "--software-version", "v2"});
            return;
        }
        const std::size_t added = fleet.add_worker(
            "engines", "n" + id, upgraded_fleet::preloaded("v2"));
        set_pace(fleet, added);
        std::this_thread::sleep_for(few_events);
        fleet.engines[n].program->kill();
        call(fleet.store, http::verb::delete_, "/v1/objects/servers/" + id);
    }

    static void set_pace(const platform_fleet& fleet, std::size_t n)
    {
        fleet.set_fault(fleet.engines[n].address,
                        R"({"event_gap_ms":)" +
                            std::to_string(short_gap.count()) + "}");
    }
};

bool has_interrupted_stream(const platform_fleet& fleet)
{
    return std::any_of(fleet.daemons.begin(), fleet.daemons.end(),
                       [](const auto& it)
                       {
                           return it.program->output().find(
                                      R"("end":"failed")") != std::string::npos;
                       });
}

// Guards against text that is joined from two versions while a service is
// replaced under load and its servers end with streams running.
TEST_P(replaced_services, join_no_versions)
{
    const replacement_case& it = GetParam();
    platform_fleet fleet(4, it.resets_links);
    fleet.add_worker("engines", "e3", upgraded_fleet::preloaded("v1"));
    fleet.add_worker("engines", "e4", upgraded_fleet::preloaded("v1"));
    upgraded_fleet::wait_until_listed();
    constexpr std::size_t old_engines = 4;
    for (std::size_t n = 0; n < old_engines; ++n)
    {
        set_pace(fleet, n);
    }
    // While two servers of the version that began them serve.
    std::size_t taken_up_in_time = 0;
    std::size_t gone_on_in_time = 0;
    persistent_callers callers(fleet, 12);
    for (std::size_t n = 0; n < old_engines; ++n)
    {
        std::this_thread::sleep_for(few_events);
        if (n == old_engines / 2)
        {
            taken_up_in_time = callers.taken_up;
            gone_on_in_time = callers.gone_on;
        }
        replace(fleet, n);
        if (it.loses_hosts)
        {
            fleet.daemons[n].program->kill();
            fleet.start_daemon(n);
        }
        if (it.resets_links)
        {
            fakes::link_state const reset = fakes::link_state::reset;
            auto& links = *fleet.daemons[(n + 1) % 4].links;
            links.set_state(reset);
            links.set_state(fakes::link_state::open);
        }
    }
    std::this_thread::sleep_for(milliseconds(2'000));
    callers.stop();
    std::cout << "begun " << callers.begun << " of " << callers.asked
              << ", gone on in time " << gone_on_in_time << " of "
              << taken_up_in_time << ", in all " << callers.gone_on << " of "
              << callers.taken_up << "\n";
    EXPECT_EQ(callers.joined, 0U);
    // Streams end with their server, and go on within the response or are
    // taken up.
    EXPECT_TRUE(callers.taken_up > 0 || has_interrupted_stream(fleet));
    EXPECT_GT(callers.begun, 0U);
    if (!it.loses_hosts)
    {
        EXPECT_GE(gone_on_in_time * 2, taken_up_in_time);
    }
}

INSTANTIATE_TEST_SUITE_P(
    stream_versions, replaced_services,
    testing::Values(
        replacement_case{"one_by_one", false, false, false},
        replacement_case{"under_their_ids", true, false, false},
        replacement_case{"while_hosts_are_lost", false, true, false},
        replacement_case{"while_links_are_reset", false, false, true},
        replacement_case{"with_all_of_it", true, true, true}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a call to the store for each look at the record.
TEST(stream_versions, are_written_to_the_store_when_they_change)
{
    upgraded_fleet upgraded;
    const auto record = [&]
    {
        return call(upgraded.fleet.store, http::verb::get,
                    "/v1/objects/cicadahub-versions/streams")
            .body;
    };
    EXPECT_TRUE(
        eventually([&] { return record().find("v2") != std::string::npos; }));
    const auto calls = [&]
    {
        return read_stat(upgraded.fleet.store, "calls-cicadahub-versions");
    };
    // Hosts that found no record at their start look again after 3 s.
    std::this_thread::sleep_for(milliseconds(3'000));
    const std::string written = record();
    const std::int64_t before = calls();
    std::this_thread::sleep_for(milliseconds(1'500));
    EXPECT_EQ(record(), written);
    EXPECT_EQ(calls(), before + 1);
}

struct name_case
{
    const char* name;
    stream_call taken_up;
    bool goes_on;
};

void PrintTo(const name_case& it, std::ostream* out)
{
    *out << it.name;
}

class named_streams : public testing::TestWithParam<name_case>
{
};

// Guards against a guess where it can't be known what began a stream.
TEST_P(named_streams, go_on_only_if_it_is_known_what_began_them)
{
    upgraded_fleet upgraded;
    const raw_answer first = ask_stream(upgraded.fleet, 0, {"first", {}, {}});
    ASSERT_TRUE(is_whole(first)) << first.bytes;
    const raw_answer rest = ask_stream(upgraded.fleet, 1, GetParam().taken_up);
    EXPECT_EQ(rest.status(), GetParam().goes_on ? 200U : 503U) << rest.bytes;
}

INSTANTIATE_TEST_SUITE_P(
    stream_versions, named_streams,
    testing::Values(
        name_case{"known", {"second", "first", "3"}, true},
        name_case{"unknown", {"second", "another", "3"}, false},
        name_case{"unnamed", {"second", "", "3"}, false},
        name_case{"too_long", {"second", std::string(200, 'x'), "3"}, false}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
