#include "odd_names.hpp"
#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <fstream>

namespace cicadahub::system_tests
{
namespace
{

constexpr std::size_t hosts = 3;
constexpr milliseconds start_limit{10'000};

/// An entry of another writer: it names no server, and no version of ours.
void write_odd_entry(const platform_fleet& fleet, const std::string& kind,
                     const std::string& name)
{
    const boost::json::object body{{"metadata", {{"name", name}}},
                                   {"spec", {{"odd", true}}}};
    EXPECT_EQ(call(fleet.store, http::verb::post, "/v1/objects/" + kind,
                   boost::json::serialize(body))
                  .status,
              201U);
}

/// Each name is the cursor of the next page.
void end_pages_at_each_name(const platform_fleet& fleet)
{
    fleet.set_fault(fleet.store, R"({"page_items":1})");
}

void restart_all_hosts(platform_fleet& fleet)
{
    for (auto& it : fleet.daemons)
    {
        it.program->kill();
    }
    for (std::size_t n = 0; n < fleet.daemons.size(); ++n)
    {
        fleet.start_daemon(n);
    }
}

void expect_all_serve(const platform_fleet& fleet, const std::string& id)
{
    for (std::size_t n = 0; n < fleet.daemons.size(); ++n)
    {
        SCOPED_TRACE(fleet.daemons[n].name);
        EXPECT_TRUE(eventually([&] { return fleet.is_ready(n); }, start_limit))
            << fleet.daemons[n].program->output();
        const std::string own_id = id + "-" + std::to_string(n);
        EXPECT_EQ(
            fleet.plain(n, own_id + "-read", http::verb::get, "/read/1").status,
            200U);
        EXPECT_EQ(fleet.stream(n, own_id + "-m1", "m1").status, 200U);
        EXPECT_EQ(fleet.stream(n, own_id + "-m2", "m2").status, 200U);
    }
}

void take_up_unknown_stream(const std::string& callers)
{
    call(callers, http::verb::post, "/stream/x", "prompt",
         {{"Host", "trust.example"},
          {"Request-Id", "unknown-stream"},
          {"Authorization", "Bearer key-of-trust"},
          {"Model", "m1"},
          {"Token-Count", "20,16"},
          {"Prompt-Prefix", "aa:10,bb:10"},
          {"Last-Event-Id", "1"},
          {"Deadline-Ms", "2000"}});
}

class odd_names : public testing::TestWithParam<fakes::odd_name>
{
};

// Guards against an entry of another writer whose name, as the cursor of the
// next page, keeps the list of servers from being read, so that no host that
// starts ever serves.
TEST_P(odd_names, among_the_servers_keep_no_host_from_serving)
{
    platform_fleet fleet(hosts);
    write_odd_entry(fleet, "servers", GetParam().text);
    end_pages_at_each_name(fleet);
    restart_all_hosts(fleet);
    expect_all_serve(fleet, "restarted");
}

INSTANTIATE_TEST_SUITE_P(platform_path, odd_names,
                         testing::ValuesIn(fakes::odd_names()),
                         [](const auto& it)
                         { return std::string(it.param.label); });

/// Kind of objects that hosts read when they start.
struct odd_kind
{
    const char* label;
    const char* kind;
};

void PrintTo(const odd_kind& it, std::ostream* out)
{
    *out << it.label;
}

class odd_kinds : public testing::TestWithParam<odd_kind>
{
};

TEST_P(odd_kinds, are_read_beside_all_odd_names)
{
    platform_fleet::additions added;
    added.bounds = "evacuateMs = 5000\n";
    platform_fleet fleet(hosts, false, added);
    for (const fakes::odd_name& it : fakes::odd_names())
    {
        write_odd_entry(fleet, GetParam().kind, it.text);
    }
    end_pages_at_each_name(fleet);
    restart_all_hosts(fleet);
    expect_all_serve(fleet, "restarted");
    for (const auto& it : fleet.daemons)
    {
        // A stream that no host knows is looked for in the store's records.
        take_up_unknown_stream(it.callers);
        EXPECT_EQ(it.program->output().find("platform_unreachable"),
                  std::string::npos)
            << it.program->output();
    }
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, odd_kinds,
    testing::Values(odd_kind{"configurations", "config"},
                    odd_kind{"servers", "servers"},
                    odd_kind{"evacuations", "evacuations"},
                    odd_kind{"members", "members"},
                    odd_kind{"leases", "cicadahub-leases"},
                    odd_kind{"versions", "cicadahub-versions"},
                    odd_kind{"streams", "cicadahub-streams"},
                    odd_kind{"limits", "cicadahub-limits"}),
    [](const auto& it) { return std::string(it.param.label); });

// A host that runs lists the servers anew when the store has dropped its
// history, or was restored.
class odd_names_listed_anew : public testing::TestWithParam<const char*>
{
};

TEST_P(odd_names_listed_anew, hide_no_server_from_hosts_that_run)
{
    platform_fleet fleet(hosts);
    for (const fakes::odd_name& it : fakes::odd_names())
    {
        write_odd_entry(fleet, "servers", it.text);
    }
    end_pages_at_each_name(fleet);
    fleet.set_fault(fleet.store, R"({"keep_copy":true})");
    fleet.set_fault(fleet.store, GetParam());
    fleet.add_worker("ledger", "z-added-later", {});
    for (const auto& it : fleet.daemons)
    {
        EXPECT_TRUE(eventually(
            [&]
            {
                const std::string seen = it.program->output();
                return seen.find("z-added-later") != std::string::npos;
            },
            start_limit))
            << it.program->output();
    }
    expect_all_serve(fleet, "listed-anew");
}

INSTANTIATE_TEST_SUITE_P(platform_path, odd_names_listed_anew,
                         testing::Values(R"({"forget":true})",
                                         R"({"restore":true})"),
                         [](const auto& it)
                         { return it.index == 0 ? "forgotten" : "restored"; });

// The store continues no list of the servers behind e1, e2 and l1.
class unfinished_lists : public testing::TestWithParam<std::size_t>
{
};

TEST_P(unfinished_lists, keep_no_host_from_serving)
{
    platform_fleet fleet(hosts);
    end_pages_at_each_name(fleet);
    fleet.set_fault(fleet.store, R"({"refused_cursor":"l1"})");
    const std::size_t restarted = GetParam();
    for (std::size_t n = 0; n < restarted; ++n)
    {
        fleet.daemons[n].program->kill();
    }
    for (std::size_t n = 0; n < restarted; ++n)
    {
        fleet.start_daemon(n);
    }
    expect_all_serve(fleet, "restarted");
    const auto has_logged = [&](const std::string& text)
    {
        return fleet.daemons[0].program->output().find(text) !=
               std::string::npos;
    };
    EXPECT_TRUE(eventually([&] { return has_logged("list_incomplete"); }));
    // The others run and know all servers, or there is nobody to ask.
    if (restarted < hosts)
    {
        EXPECT_TRUE(eventually(
            [&] { return has_logged(R"("is_full_list":true)"); }, start_limit))
            << fleet.daemons[0].program->output();
        EXPECT_TRUE(has_logged(R"("server":"l2")"));
    }
}

INSTANTIATE_TEST_SUITE_P(platform_path, unfinished_lists,
                         testing::Values(1, hosts),
                         [](const auto& it)
                         { return it.index == 0 ? "one_host" : "all_hosts"; });

// Sound servers may have such names too, as far as a field can carry them.
class oddly_named_servers : public testing::TestWithParam<fakes::odd_name>
{
};

TEST_P(oddly_named_servers, serve_after_a_restart_of_all_hosts)
{
    platform_fleet fleet(hosts);
    const std::size_t odd = fleet.add_worker("ledger", GetParam().text, {});
    for (const std::size_t usual : {0, 1})
    {
        fleet.services[usual].program->kill();
        EXPECT_EQ(call(fleet.store, http::verb::delete_,
                       "/v1/objects/servers/" + fleet.services[usual].id)
                      .status,
                  200U);
    }
    end_pages_at_each_name(fleet);
    restart_all_hosts(fleet);
    expect_all_serve(fleet, "restarted");
    EXPECT_EQ(read_stat(fleet.services[odd].address, "arrivals"),
              static_cast<std::int64_t>(hosts));
}

std::vector<fakes::odd_name> odd_names_for_fields()
{
    std::vector<fakes::odd_name> names = fakes::odd_names();
    std::erase_if(names, [](const auto& it)
                  { return !http::is_field_value(it.text); });
    return names;
}

INSTANTIATE_TEST_SUITE_P(platform_path, oddly_named_servers,
                         testing::ValuesIn(odd_names_for_fields()),
                         [](const auto& it)
                         { return std::string(it.param.label); });

// Guards against requests refused for the sake of an entry that is sound but
// for its name: written to a field, it made each request to the server
// malformed.
TEST(platform_path, a_server_whose_name_fits_no_field_gets_nothing)
{
    platform_fleet fleet(1);
    const std::size_t odd =
        fleet.add_worker("ledger", "f\r\nX-Injected: 1", {});
    fleet.daemons[0].program->kill();
    fleet.start_daemon(0);
    expect_all_serve(fleet, "restarted");
    for (int n = 0; n < 30; ++n)
    {
        EXPECT_EQ(
            fleet
                .plain(0, "id-" + std::to_string(n), http::verb::get, "/read/1")
                .status,
            200U);
    }
    EXPECT_EQ(read_stat(fleet.services[odd].address, "arrivals"), 0);
}

TEST(cicadactl, sends_no_request_with_a_name_that_no_object_can_have)
{
    system_tests::fleet fleet(1, 1);
    const std::vector<std::vector<std::string>> commands{
        {"get", "key"}, {"delete", "key"}, {"create-key"}};
    for (const fakes::odd_name& it : fakes::odd_names())
    {
        // The one is a valid name, the other no argument of a program.
        if (it.text == ".." || it.text.find('\0') != std::string::npos)
        {
            continue;
        }
        for (const std::vector<std::string>& command : commands)
        {
            SCOPED_TRACE(command.front() + " " + it.label);
            std::vector<std::string> words{"-d", fleet.daemons[0].operators};
            words.insert(words.end(), command.begin(), command.end());
            words.push_back(it.text);
            if (command.front() == "create-key")
            {
                words.push_back("a");
            }
            process program("utilities/cicadactl", words);
            EXPECT_NE(program.wait(), 0);
            EXPECT_NE(program.output().find("a name may only have"),
                      std::string::npos)
                << program.output();
        }
    }
}

TEST(explain, prints_an_odd_name_on_one_line)
{
    const std::string file = make_folder() + "/log";
    const boost::json::object line{{"time", "2026-01-01T00:00:00.000000"},
                                   {"event", 711},
                                   {"name", "request_attempted"},
                                   {"daemon", "host"},
                                   {"request", "r"},
                                   {"server", "f\nb"}};
    std::ofstream(file) << boost::json::serialize(line) << "\n";
    process program("utilities/cicadactl", {"explain", "r", file});
    EXPECT_EQ(program.wait(), 0);
    EXPECT_NE(program.output().find("server=\"f\\nb\""), std::string::npos)
        << program.output();
}

} // namespace
} // namespace cicadahub::system_tests
