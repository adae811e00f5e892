#include "settings/daemon_settings.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace cicadahub::settings
{
namespace
{

constexpr const char* required_settings = "[daemon]\n"
                                          "name = \"a\"\n"
                                          "data_centre = \"dc-1\"\n"
                                          "[listen]\n"
                                          "callers = \"127.0.0.1:1\"\n"
                                          "operators = \"127.0.0.1:2\"\n"
                                          "fleet = \"127.0.0.1:3\"\n"
                                          "[platform]\n"
                                          "address = \"127.0.0.1:4\"\n";

settings_result read_settings_text(const std::string& text)
{
    const std::string file =
        testing::TempDir() + "settings_" + std::to_string(::getpid()) + ".toml";
    std::ofstream(file) << text;
    settings_result result = read_settings(file);
    std::remove(file.c_str());
    return result;
}

TEST(daemon_settings, omitted_settings_take_their_defaults)
{
    const settings_result result = read_settings_text(required_settings);
    EXPECT_TRUE(result.faults.empty());
    EXPECT_EQ(result.settings.daemon_name, "a");
    EXPECT_EQ(result.settings.lease_duration, milliseconds(6'000));
    EXPECT_EQ(result.settings.model_loads_in_flight, 4);
}

struct fault_case
{
    const char* name;
    const char* extra;
    const char* setting;
    unsigned line;

    friend void PrintTo(const fault_case& it, std::ostream* out)
    {
        *out << it.name;
    }
};

class settings_faults : public testing::TestWithParam<fault_case>
{
};

TEST_P(settings_faults, are_named_with_line_and_setting)
{
    const settings_result result =
        read_settings_text(std::string(required_settings) + GetParam().extra);
    ASSERT_EQ(result.faults.size(), 1u);
    EXPECT_EQ(result.faults[0].setting, GetParam().setting);
    EXPECT_EQ(result.faults[0].line, GetParam().line);
}

INSTANTIATE_TEST_SUITE_P(
    table, settings_faults,
    testing::Values(
        fault_case{"unknown_setting", "[lease]\nlength = 1\n", "lease.length",
                   11},
        fault_case{"unknown_section", "[nothing]\na = 1\n", "nothing", 10},
        fault_case{"wrong_type", "[lease]\nduration_ms = \"x\"\n",
                   "lease.duration_ms", 11},
        fault_case{"out_of_range", "[log]\nlevel = 9\n", "log.level", 11},
        fault_case{"renewal_too_slow", "[lease]\nrenewal_ms = 5000\n",
                   "lease.renewal_ms", 0},
        fault_case{"not_toml", "[lease\n", "file", 10}),
    [](const auto& it) { return it.param.name; });

TEST(daemon_settings, every_fault_is_reported)
{
    const settings_result result = read_settings_text("[daemon]\nname = 1\n");
    // One setting of the wrong type and five required settings that are
    // missing.
    EXPECT_EQ(result.faults.size(), 6u);
}

} // namespace
} // namespace cicadahub::settings
