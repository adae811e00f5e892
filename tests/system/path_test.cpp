#include "fleet.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace cicadahub::system_tests
{
namespace
{

TEST(path, a_cold_model_is_loaded_once_for_the_fleet)
{
    fleet it(3);
    EXPECT_EQ(it.complete(0, "m1").status, 200u);
    EXPECT_EQ(it.complete(1, "m1").status, 200u);
    const answer streamed = it.complete(2, "m1", "key-of-a", 3, true);
    EXPECT_EQ(streamed.status, 200u);
    EXPECT_NE(streamed.body.find("data: [DONE]"), std::string::npos);
    EXPECT_EQ(it.engine_total("loads"), 1);
    EXPECT_EQ(it.engine_total("keys_seen"), 0);
}

TEST(path, a_plain_service_call_runs_once_and_receives_no_key)
{
    fleet it(2, 1);
    const answer first =
        call(it.daemons[0].callers, http::verb::post, "/services/ledger/post",
             R"({"n":1})",
             {{"Authorization", "Bearer key-of-a"}, {"X-Request-Id", "r1"}});
    EXPECT_EQ(first.status, 200u) << first.body;
    EXPECT_NE(first.body.find("\"path\":\"/post\""), std::string::npos);
    EXPECT_EQ(read_stat(it.plain_service.address, "keys_seen"), 0);
    EXPECT_EQ(
        call(it.daemons[1].callers, http::verb::get, "/services/open/x").status,
        200u);
}

/// Sends the bytes unchanged; returns the response, or status 0 if there is
/// none.
answer send_raw(const std::string& address, const std::string& bytes)
{
    namespace net = boost::asio;
    net::io_context context;
    net::ip::tcp::socket socket(context);
    socket.connect(http::parse_endpoint(address));
    boost::system::error_code ec;
    net::write(socket, net::buffer(bytes), ec);
    http::beast_http::response<http::beast_http::string_body> response;
    boost::beast::flat_buffer buf;
    http::beast_http::read(socket, buf, response, ec);
    return ec ? answer{} : answer{response.result_int(), response.body()};
}

std::string post(const std::string& fields, const std::string& body)
{
    return "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(path, malformed_input_is_refused_by_type_without_leaking_the_key)
{
    const std::string key = "Authorization: Bearer key-of-a\r\n";
    const std::string good = R"({"model":"m1","prompt":"p"})";
    struct
    {
        std::string bytes;
        unsigned status;
        std::string type;
    } const rows[] = {
        {post(key, "{"), 400, "malformed-request"},
        {post(key, "[1]"), 400, "malformed-request"},
        {post(key, R"({"model":3})"), 400, "malformed-request"},
        {post(key, R"({"model":"m1","max_tokens":-1})"), 400,
         "malformed-request"},
        {post(key, std::string(5'000, '[')), 400, "malformed-request"},
        {post(key, R"({"model":"none"})"), 404, "unknown-model"},
        {post(key + "X-Cicadahub-Class: none\r\n", good), 400, "unknown-class"},
        {post("", good), 401, "unauthenticated"},
        {post("Authorization: Bearer wrong\r\n", good), 401, "unauthenticated"},
        {post("Authorization: Basic a2V5\r\n", good), 401, "unauthenticated"},
        {post(key, R"({"model":"m1","user":"key-of-a"})"), 400, "key-in-body"},
        {post(key, std::string(70'000, 'x')), 413, "body-too-large"},
        {post(key + "X-Long: " + std::string(5'000, 'x') + "\r\n", good), 431,
         "headers-too-large"},
        {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le", 408,
         "request-timeout"},
        {post(key, good).substr(0, post(key, good).size() - 3), 408,
         "request-timeout"},
        {"no http at all\r\n\r\n", 400, "malformed-request"},
        {"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404, "unknown-path"},
        {"GET /v1/completions HTTP/1.1\r\nHost: x\r\n" + key + "\r\n", 405,
         "method-not-allowed"},
        {"GET /services/none/x HTTP/1.1\r\nHost: x\r\n" + key + "\r\n", 404,
         "unknown-route"},
    };
    fleet it(1, 1);
    for (const auto& row : rows)
    {
        const answer seen = send_raw(it.daemons[0].callers, row.bytes);
        EXPECT_EQ(seen.status, row.status) << row.bytes.substr(0, 80);
        EXPECT_EQ(seen.refusal(), row.type) << row.bytes.substr(0, 80);
        EXPECT_TRUE(seen.is_not_run());
        EXPECT_EQ(seen.body.find("key-of-a"), std::string::npos);
    }
    EXPECT_EQ(it.engine_total("requests"), 0);
    EXPECT_EQ(it.complete(0, "m1").status, 200u);
    EXPECT_EQ(it.daemons[0].program->output().find("key-of-a"),
              std::string::npos);
}

TEST(path, a_caller_disconnect_cancels_its_stream)
{
    engine_options slow;
    slow.token_us = "50000";
    fleet it(1, 1, slow);
    EXPECT_EQ(it.complete(0, "m1", "key-of-a", 1).status, 200u);
    const answer cut =
        call(it.daemons[0].callers, http::verb::post, "/v1/completions",
             R"({"model":"m1","prompt":"p","max_tokens":1000,"stream":true})",
             {{"Authorization", "Bearer key-of-a"}}, milliseconds(500));
    EXPECT_EQ(cut.status, 0u);
    EXPECT_TRUE(eventually([&] { return it.engine_total("cancelled") == 1; }));
    EXPECT_EQ(it.complete(0, "m1", "key-of-a", 1).status, 200u);
}

TEST(settings, an_address_in_use_and_a_bad_flag_exit_with_code_2)
{
    fleet it(1, 1);
    process second("services/cicadad",
                   {"--settings", it.daemons[0].settings_file});
    EXPECT_EQ(second.wait(), 2);
    // The message names file, line and setting; the listen addresses start in
    // line 5.
    EXPECT_NE(second.output().find(it.daemons[0].settings_file + ":7: listen."),
              std::string::npos)
        << second.output();
    process usage("services/cicadad", {"--none"});
    EXPECT_EQ(usage.wait(), 2);
    process checked("services/cicadad",
                    {"--check-settings", it.daemons[0].settings_file});
    EXPECT_EQ(checked.wait(), 0);
}

} // namespace
} // namespace cicadahub::system_tests
