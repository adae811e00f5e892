#include "documents.hpp"

#include "core/digest.hpp"
#include "core/errors.hpp"
#include "core/json_reader.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

struct member_case
{
    const char* name;
    /// Members of the configuration, the route, the service or the tenant; with
    /// a comma in front.
    std::string of_configuration;
    std::string of_route = R"(,"service":"s")";
    std::string of_service{};
    /// Whether the configuration that is read has the meaning; null if it can't
    /// be read.
    bool (*has_meaning)(const serving::configuration&) = nullptr;
};

void PrintTo(const member_case& it, std::ostream* out)
{
    *out << it.name;
}

const std::string to_service = R"(,"service":"s")";

std::string tenant(const std::string& members)
{
    return R"(,"tenants":[{"name":"trust")" + members + "}]";
}

const serving::route& only_route(const serving::configuration& it)
{
    return it.routes.at(0);
}

const serving::service& only_service(const serving::configuration& it)
{
    return it.services.at(service_id("s"));
}

const serving::organisation& only_organisation(const serving::configuration& it)
{
    return it.organisations.at(organisation_id("trust"));
}

class absent_members : public testing::TestWithParam<member_case>
{
};

// Guards against an empty member that is taken for an absent one: a list of
// organisations that is empty let everybody in (review/8). The table stands in
// docs/PLATFORM.md.
TEST_P(absent_members, are_told_from_empty_ones)
{
    const member_case& it = GetParam();
    platform::stored_object stored;
    stored.spec = parse_json_object(
        R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/",
        "kind":"safe","timeoutMs":100)" +
        it.of_route + R"(}],"services":[{"name":"s")" + it.of_service + "}]" +
        it.of_configuration + "}");
    if (it.has_meaning == nullptr)
    {
        EXPECT_THROW(documents.read_configuration(stored), malformed_document);
        return;
    }
    EXPECT_TRUE(it.has_meaning(documents.read_configuration(stored)));
}

using config = serving::configuration;

INSTANTIATE_TEST_SUITE_P(
    tenants, absent_members,
    testing::Values(
        member_case{"absent", "", to_service, "",
                    [](const config& it)
                    {
                        return !it.requires_key;
                    }},
        member_case{"empty", R"(,"tenants":[])", to_service, "",
                    [](const config& it)
                    {
                        return it.requires_key && it.keys.empty();
                    }},
        member_case{"null", R"(,"tenants":null)"},
        member_case{"object", R"(,"tenants":{})"},
        member_case{"not_read", "", to_service, "",
                    [](const config&)
                    {
                        return config().requires_key;
                    }},
        member_case{"keys_absent", tenant("")},
        member_case{"keys_empty", tenant(R"(,"apiKeys":[])"), to_service, "",
                    [](const config& it)
                    {
                        return it.requires_key && it.keys.empty();
                    }},
        member_case{"key_empty", tenant(R"(,"apiKeys":["","k"])"), to_service,
                    "",
                    [](const config& it)
                    {
                        return it.find_organisation(hash_of_key("k")) &&
                               !it.find_organisation(hash_of_key(""));
                    }},
        member_case{"key_null", tenant(R"(,"apiKeys":[null])")},
        member_case{"rate_absent", tenant(R"(,"apiKeys":[])"), to_service, "",
                    [](const config& it)
                    {
                        return !only_organisation(it).rate;
                    }},
        // As the platform's page says.
        member_case{"rate_zero", tenant(R"(,"apiKeys":[],"ratePerS":0)"),
                    to_service, "",
                    [](const config& it)
                    {
                        return !only_organisation(it).rate;
                    }},
        member_case{"rate_null", tenant(R"(,"apiKeys":[],"ratePerS":null)")},
        member_case{"regions_empty",
                    tenant(R"(,"apiKeys":[],"allowedRegions":[])"), to_service,
                    "",
                    [](const config& it)
                    {
                        return only_organisation(it).allowed_regions ==
                               std::set<region_id>();
                    }}),
    [](const auto& it) { return std::string(it.param.name); });

INSTANTIATE_TEST_SUITE_P(
    routes, absent_members,
    testing::Values(member_case{"service_absent", "", ""},
                    member_case{"split_empty", "", R"(,"split":[])", "",
                                [](const config& it)
                                {
                                    return only_route(it).services.empty();
                                }},
                    member_case{"public_absent", "", to_service, "",
                                [](const config& it)
                                {
                                    return !only_route(it).is_public;
                                }},
                    member_case{"public_null", "",
                                to_service + R"(,"public":null)"},
                    member_case{"resumable_absent", "", to_service, "",
                                [](const config& it)
                                {
                                    return !only_route(it).is_resumable;
                                }},
                    member_case{"attempts_absent", "", to_service, "",
                                [](const config& it)
                                {
                                    return only_route(it).max_attempts == 1;
                                }},
                    member_case{"regions_absent", "", to_service, "",
                                [](const config& it)
                                {
                                    return !only_route(it).allowed_regions;
                                }},
                    member_case{"regions_empty", "",
                                to_service + R"(,"allowedRegions":[])", "",
                                [](const config& it)
                                {
                                    return only_route(it).allowed_regions ==
                                           std::set<region_id>();
                                }},
                    member_case{"regions_null", "",
                                to_service + R"(,"allowedRegions":null)"}),
    [](const auto& it) { return std::string(it.param.name); });

INSTANTIATE_TEST_SUITE_P(
    services, absent_members,
    testing::Values(
        member_case{"engine_absent", "", to_service, "",
                    [](const config& it)
                    {
                        return !only_service(it).engine.has_value();
                    }},
        member_case{"engine_null", "", to_service, R"(,"engine":null)"},
        member_case{"engine_empty", "", to_service, R"(,"engine":{})"},
        member_case{"cold_rate_absent", "", to_service, "",
                    [](const config& it)
                    {
                        return !only_service(it).cold_requests_per_second;
                    }},
        member_case{"cold_rate_zero", "", to_service, R"(,"coldPerS":0)",
                    [](const config& it)
                    {
                        return only_service(it).cold_requests_per_second == 0;
                    }},
        member_case{"limits_absent", "", to_service, "",
                    [](const config& it)
                    {
                        return it.limits.body_bytes ==
                               serving::caller_limits().body_bytes;
                    }},
        member_case{"limits_empty", R"(,"limits":{})"}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::adapter
