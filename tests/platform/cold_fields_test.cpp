#include "documents.hpp"
#include "servers.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

serving::configuration configuration_from(std::string_view regions)
{
    platform::stored_object it;
    it.spec = parse_json_object(
        R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/",
        "kind":"safe","timeoutMs":100,"service":"s","allowedRegions":)" +
        std::string(regions) + R"(}],"services":[{"name":"s","coldStartS":20.5,
        "coldPerS":29},{"name":"t"}]})");
    return documents.read_configuration(it);
}

// Guards against fields of cold servers and regions that are passed over.
TEST(documents, have_cold_servers_and_allowed_regions)
{
    const auto seen = configuration_from(R"(["north"])");
    EXPECT_EQ(seen.routes.at(0).allowed_regions, std::set{region_id("north")});
    const auto& cold = seen.services.at(service_id("s"));
    EXPECT_EQ(cold.cold_start, milliseconds(20'500));
    EXPECT_EQ(cold.cold_requests_per_second, 29);
    EXPECT_FALSE(seen.services.at(service_id("t")).cold_requests_per_second);
    // Requests would reach regions that are not allowed.
    EXPECT_THROW(configuration_from("[1]"), malformed_document);
    EXPECT_THROW(configuration_from("\"north\""), malformed_document);
}

TEST(documents, have_the_time_for_which_a_server_remains_cold)
{
    platform::stored_object it;
    it.name = "server";
    it.spec = parse_json_object(
        R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":1,
        "state":"ready","coldLeftMs":1500})");
    EXPECT_EQ(documents.read_server(it).cold_left, milliseconds(1'500));
    http::beast_http::response_header<> head;
    EXPECT_FALSE(servers.read_notice(head, server_id("s")).cold_left);
    head.set("Cold-Ms", "700");
    EXPECT_EQ(servers.read_notice(head, server_id("s")).cold_left,
              milliseconds(700));
    head.set("Cold-Ms", "soon");
    EXPECT_FALSE(servers.read_notice(head, server_id("s")).cold_left);
}

} // namespace
} // namespace cicadahub::adapter
