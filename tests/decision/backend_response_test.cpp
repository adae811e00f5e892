#include "decision/outcome/backend_response.hpp"

#include <gtest/gtest.h>

namespace cicadahub::outcome
{
namespace
{

using enum response_meaning;

struct meaning_case
{
    const char* name;
    backend_response_facts facts;
    response_meaning expected;
};

void PrintTo(const meaning_case& it, std::ostream* out)
{
    *out << it.name;
}

class backend_responses : public testing::TestWithParam<meaning_case>
{
};

TEST_P(backend_responses, rest_on_what_is_proven)
{
    EXPECT_EQ(meaning_of(GetParam().facts), GetParam().expected);
}

constexpr auto named = named_party::expected;
constexpr auto unnamed = named_party::missing;
constexpr auto misnamed = named_party::other;
constexpr bool own_id = true;
constexpr bool not_run = true;
constexpr bool more = true;
constexpr std::uint32_t first = 0;
constexpr std::uint32_t later = 1;

INSTANTIATE_TEST_SUITE_P(
    cases, backend_responses,
    testing::Values(
        meaning_case{"success", {200, named, own_id, later}, answer},
        meaning_case{"unnamed_success", {200, unnamed, own_id, later}, answer},
        meaning_case{"success_of_another_request",
                     {200, misnamed, own_id, first},
                     not_an_answer},
        meaning_case{"failure", {500, unnamed, own_id, later}, answer},
        meaning_case{
            "named_refusal", {503, named, own_id, later, not_run}, turned_away},
        meaning_case{"named_refusal_404",
                     {404, named, own_id, later, not_run},
                     not_here},
        meaning_case{"first_refusal",
                     {503, unnamed, own_id, first, not_run},
                     turned_away},
        meaning_case{"unnamed_refusal",
                     {503, unnamed, own_id, later, not_run},
                     unproven_promise},
        meaning_case{"unnamed_refusal_404",
                     {404, unnamed, own_id, later, not_run},
                     unproven_promise},
        meaning_case{"refusal_that_names_a_chosen_id",
                     {503, named, !own_id, later, not_run},
                     unproven_promise},
        meaning_case{"first_refusal_that_names_a_chosen_id",
                     {503, named, !own_id, first, not_run},
                     turned_away},
        meaning_case{"refusal_of_another_request",
                     {503, misnamed, own_id, first, not_run},
                     not_an_answer},
        meaning_case{"own_408", {408, named, own_id, first}, unproven_promise},
        meaning_case{"own_421", {421, named, own_id, first}, unproven_promise},
        meaning_case{"own_429", {429, named, own_id, first}, unproven_promise},
        meaning_case{"own_503", {503, named, own_id, first}, unproven_promise},
        meaning_case{"own_404", {404, unnamed, own_id, later}, answer},
        meaning_case{"unnamed_with_bytes_behind",
                     {200, unnamed, own_id, first, !not_run, more},
                     not_an_answer},
        meaning_case{"unnamed_refusal_with_bytes_behind",
                     {503, unnamed, own_id, first, not_run, more},
                     not_an_answer},
        meaning_case{"chosen_id_with_bytes_behind",
                     {200, named, !own_id, later, !not_run, more},
                     not_an_answer},
        meaning_case{"named_with_bytes_behind",
                     {200, named, own_id, later, !not_run, more},
                     answer}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::outcome
