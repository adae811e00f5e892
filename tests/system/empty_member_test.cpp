#include "platform_fleet.hpp"

#include <gtest/gtest.h>

namespace cicadahub::system_tests
{
namespace
{

// Guards against requests that run without a valid key once the last
// organisation has been taken away (review/8).
TEST(empty_members, no_organisation_lets_nobody_in)
{
    platform_fleet fleet(2);
    fleet.change_configuration([](boost::json::object& spec)
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

struct split_case
{
    const char* name;
    boost::json::array split;
};

void PrintTo(const split_case& it, std::ostream* out)
{
    *out << it.name;
}

class splits_to_nowhere : public testing::TestWithParam<split_case>
{
};

// Guards against a host that ends, or sends a request somewhere, because its
// route leads to no service.
TEST_P(splits_to_nowhere, refuse_their_requests_only)
{
    platform_fleet fleet(1);
    fleet.change_configuration(
        [](boost::json::object& spec)
        {
            for (auto& it : spec.at("routes").as_array())
            {
                boost::json::object& route = it.as_object();
                if (route.at("name") == "read")
                {
                    route.erase("service");
                    route["split"] = GetParam().split;
                }
            }
        });
    EXPECT_TRUE(eventually(
        [&] {
            return fleet.plain(0, "r", http::verb::get, "/read/1").status ==
                   503;
        }));
    EXPECT_EQ(fleet.plain(0, "p", http::verb::post, "/post/1").status, 200U);
}

INSTANTIATE_TEST_SUITE_P(
    empty_members, splits_to_nowhere,
    testing::Values(split_case{"empty", {}},
                    split_case{"without_weight",
                               {{{"service", "ledger"}, {"weight", 0}}}}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
