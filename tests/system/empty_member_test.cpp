#include "platform_fleet.hpp"

#include <gtest/gtest.h>

namespace cicadahub::system_tests
{
namespace
{

const std::string configuration_path = "/v1/objects/config/main";

/// Writes the next version of the configuration with changes to its members.
template<class Change>
void change_configuration(const platform_fleet& fleet, Change change)
{
    const answer now = call(fleet.store, http::verb::get, configuration_path);
    boost::json::value next = boost::json::parse(now.body);
    boost::json::object& spec = next.as_object().at("spec").as_object();
    spec["version"] = spec.at("version").as_int64() + 1;
    change(spec);
    const boost::json::object body{{"metadata", {{"name", "main"}}},
                                   {"spec", std::move(spec)}};
    EXPECT_EQ(call(fleet.store, http::verb::put, configuration_path,
                   boost::json::serialize(body))
                  .status,
              200U);
}

// Guards against requests that run without a valid key once the last
// organisation has been taken away (review/8).
TEST(empty_members, no_organisation_lets_nobody_in)
{
    platform_fleet fleet(2);
    change_configuration(fleet, [](boost::json::object& spec)
                         { spec["tenants"] = boost::json::array(); });
    for (const std::size_t n : {0U, 1U})
    {
        const auto status = [&](const std::string& key)
        {
            return fleet.plain(n, "r-" + key, http::verb::post, "/post/1", key)
                .status;
        };
        EXPECT_TRUE(eventually([&] { return status("key-of-trust") == 401; }));
        EXPECT_EQ(status("never-held"), 401U);
        EXPECT_EQ(status(""), 401U);
    }
    EXPECT_TRUE(fleet.count_runs().empty() ||
                !fleet.count_runs().contains("r-never-held"));
}

} // namespace
} // namespace cicadahub::system_tests
