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
    const char* value;
    bool is_read;
    std::optional<std::uint32_t> pace_percent;
    const char* sender = "s";
};

void PrintTo(const load_case& it, std::ostream* out)
{
    *out << it.name;
}

class server_loads : public testing::TestWithParam<load_case>
{
};

TEST_P(server_loads, are_read_with_or_without_a_pace)
{
    http::beast_http::response_header<> head;
    head.set("Server-Load", GetParam().value);
    head.set("Instance-Id", GetParam().sender);
    const auto seen = servers.read_notice(head, server_id("s")).load;
    ASSERT_EQ(seen.has_value(), GetParam().is_read);
    if (seen)
    {
        EXPECT_EQ(seen->running, 3);
        EXPECT_EQ(seen->waiting, 1);
        EXPECT_EQ(seen->slots, 6);
        EXPECT_EQ(seen->pace_percent, GetParam().pace_percent);
    }
}

INSTANTIATE_TEST_SUITE_P(
    servers, server_loads,
    testing::Values(load_case{"three_figures", "3,1,6", true, {}},
                    load_case{"four_figures", "3,1,6,250", true, 250},
                    load_case{"spaces", "3, 1, 6, 250", true, 250},
                    load_case{"a_malformed_pace", "3,1,6,fast", true, {}},
                    load_case{"a_negative_pace", "3,1,6,-1", true, {}},
                    load_case{"an_infinite_pace", "3,1,6,inf", true, {}},
                    load_case{"a_pace_of_zero", "3,1,6,0", true, {}},
                    load_case{"an_empty_pace", "3,1,6,", true, {}},
                    load_case{"more_figures", "3,1,6,250,7", true, 250},
                    load_case{"two_figures", "3,1", false, {}},
                    load_case{"no_numbers", "a,b,c", false, {}},
                    load_case{"another_server", "3,1,6", false, {}, "t"}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::adapter
