#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace cicadahub::system_tests
{
namespace
{

struct odd_case
{
    const char* name;
    std::string spec;
};

void PrintTo(const odd_case& it, std::ostream* out)
{
    *out << it.name;
}

bool has_line(const std::string& output, const std::string& event,
              const std::string& text)
{
    std::istringstream lines(output);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.find(event) != std::string::npos &&
            line.find(text) != std::string::npos)
        {
            return true;
        }
    }
    return false;
}

class odd_servers : public testing::TestWithParam<odd_case>
{
protected:
    static bool logs(const platform_fleet& fleet, std::size_t daemon,
                     const std::string& event, const std::string& text)
    {
        return eventually(
            [&] {
                return has_line(fleet.daemons[daemon].program->output(), event,
                                text);
            },
            seconds(5));
    }
};

std::string nested(std::size_t depth)
{
    return R"({"odd":)" + std::string(depth, '[') + std::string(depth, ']') +
           "}";
}

// Guards against one entry of another writer that hides all servers, also after
// it has been deleted.
TEST_P(odd_servers, do_not_end_the_following_of_others)
{
    platform_fleet fleet(2);
    const boost::json::object faults{
        {"raw_servers", {{"odd", GetParam().spec}}}};
    fleet.set_fault(fleet.store, boost::json::serialize(faults));
    fleet.add_worker("ledger", "added-beside", {});
    for (const std::size_t it : {0, 1})
    {
        EXPECT_TRUE(logs(fleet, it, "malformed_object", "\"odd\""));
        EXPECT_TRUE(logs(fleet, it, "server_listed", "added-beside"));
    }
    EXPECT_EQ(call(fleet.store, http::verb::delete_, "/v1/objects/servers/odd")
                  .status,
              200U);
    fleet.add_worker("ledger", "added-behind", {});
    for (const std::size_t it : {0, 1})
    {
        EXPECT_TRUE(logs(fleet, it, "server_listed", "added-behind"));
    }
}

// A daemon that starts beside it lists all servers.
TEST_P(odd_servers, do_not_keep_a_daemon_from_starting)
{
    platform_fleet fleet(1);
    const boost::json::object faults{
        {"raw_servers", {{"odd", GetParam().spec}}}};
    fleet.set_fault(fleet.store, boost::json::serialize(faults));
    fleet.daemons[0].program->kill();
    fleet.start_daemon(0);
    EXPECT_TRUE(eventually([&] { return fleet.is_ready(0); }, seconds(5)));
    EXPECT_EQ(fleet.plain(0, "r1", http::verb::get, "/read/1").status, 200U);
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, odd_servers,
    testing::Values(
        odd_case{"number_beyond_double", R"({"coldLeftMs":1e400})"},
        odd_case{"exponent_overflow", R"({"coldLeftMs":1e99999999999})"},
        odd_case{"nested_28", nested(28)},
        odd_case{"nested_5000", nested(5'000)},
        odd_case{"port_out_of_range", R"({"address":"127.0.0.1:65536"})"}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
