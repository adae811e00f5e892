#include "servers.hpp"

#include "decision/sharing/server_pause.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

using http::status;

struct notice_case
{
    const char* name;
    status code;
    std::vector<std::pair<const char*, const char*>> fields;
    bool is_leaving;
    std::optional<milliseconds> pause;
};

void PrintTo(const notice_case& it, std::ostream* out)
{
    *out << it.name;
}

class server_notices : public testing::TestWithParam<notice_case>
{
};

TEST_P(server_notices, are_read_from_any_response_of_the_server)
{
    http::beast_http::response_header<> head;
    head.result(GetParam().code);
    for (const auto& [name, value] : GetParam().fields)
    {
        head.set(name, value);
    }
    const entry::server_notice seen = servers.read_notice(head, server_id("s"));
    EXPECT_EQ(seen.is_leaving, GetParam().is_leaving);
    EXPECT_EQ(seen.pause, GetParam().pause);
}

constexpr auto busy = status::service_unavailable;
constexpr auto elsewhere = status::misdirected_request;

INSTANTIATE_TEST_SUITE_P(
    servers, server_notices,
    testing::Values(
        notice_case{"nothing", status::ok, {}, false, std::nullopt},
        notice_case{"leaving_with_success",
                    status::ok,
                    {{"Server-Leaving", "1"}},
                    true,
                    std::nullopt},
        notice_case{"leaving_with_failure",
                    status::internal_server_error,
                    {{"Server-Leaving", "1"}},
                    true,
                    std::nullopt},
        notice_case{"leaving_with_rejection",
                    busy,
                    {{"Server-Leaving", "1"}, {"Not-Run", "1"}},
                    true,
                    std::nullopt},
        notice_case{"leaving_without_the_model",
                    elsewhere,
                    {{"Server-Leaving", "1"}, {"Instance-Id", "s"}},
                    true,
                    std::nullopt},
        notice_case{"another_server_has_the_address",
                    elsewhere,
                    {{"Server-Leaving", "1"}, {"Instance-Id", "t"}},
                    false,
                    std::nullopt},
        notice_case{"not_leaving",
                    status::ok,
                    {{"Server-Leaving", "0"}},
                    false,
                    std::nullopt},
        notice_case{
            "pause", busy, {{"Retry-After", "3"}}, false, milliseconds(3'000)},
        notice_case{"pause_with_fraction",
                    busy,
                    {{"Retry-After", "0.25"}},
                    false,
                    milliseconds(250)},
        notice_case{"pause_beyond_the_limit",
                    busy,
                    {{"Retry-After", "99999999999999999999"}},
                    false,
                    sharing::server_pause::max_length},
        notice_case{"pause_only_with_a_rejection",
                    status::too_many_requests,
                    {{"Retry-After", "3"}},
                    false,
                    std::nullopt},
        notice_case{"pause_as_a_date",
                    busy,
                    {{"Retry-After", "Fri, 04 Dec 2026 08:00:00 GMT"}},
                    false,
                    std::nullopt},
        notice_case{"negative_pause",
                    busy,
                    {{"Retry-After", "-3"}},
                    false,
                    std::nullopt},
        notice_case{
            "empty_pause", busy, {{"Retry-After", ""}}, false, std::nullopt}),
    [](const auto& it) { return std::string(it.param.name); });

struct load_case
{
    const char* name;
    const char* text;
    bool is_load;
    std::optional<double> pace;
};

void PrintTo(const load_case& it, std::ostream* out)
{
    *out << it.name;
}

class server_loads : public testing::TestWithParam<load_case>
{
};

// A malformed pace must not cost the other figures, and none must not count as
// one: it enables decisions.
TEST_P(server_loads, may_state_a_pace)
{
    http::beast_http::response_header<> head;
    head.result(status::ok);
    head.set("Server-Load", GetParam().text);
    const auto seen = servers.read_notice(head, server_id("s")).load;
    ASSERT_EQ(seen.has_value(), GetParam().is_load);
    if (seen)
    {
        EXPECT_EQ(seen->slots, 6U);
        EXPECT_EQ(seen->pace, GetParam().pace);
    }
}

INSTANTIATE_TEST_SUITE_P(
    servers, server_loads,
    testing::Values(load_case{"three", "4,1,6", true, std::nullopt},
                    load_case{"four", "4,1,6,250", true, 250},
                    load_case{"decimal", "4,1,6,99.5", true, 99.5},
                    load_case{"more", "4,1,6,100,7", true, 100},
                    load_case{"zero", "4,1,6,0", true, std::nullopt},
                    load_case{"infinite", "4,1,6,inf", true, std::nullopt},
                    load_case{"text", "4,1,6,slow", true, std::nullopt},
                    load_case{"two", "4,1", false, std::nullopt}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::adapter
