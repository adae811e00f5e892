#include "decision/outcome/response_meaning.hpp"

#include <gtest/gtest.h>

namespace cicadahub::outcome
{
namespace
{

using enum named_party;
using enum response_meaning;

struct meaning_case
{
    const char* name;
    response_facts facts;
    response_meaning expected;
};

void PrintTo(const meaning_case& it, std::ostream* out)
{
    *out << it.name;
}

response_facts facts_of(unsigned status, named_party request,
                        bool states_not_run, bool has_proof_of_origin = false,
                        named_party server = missing)
{
    response_facts it;
    it.server = server;
    it.status = status;
    it.request = request;
    it.states_not_run = states_not_run;
    it.has_proof_of_origin = has_proof_of_origin;
    return it;
}

class response_meanings : public testing::TestWithParam<meaning_case>
{
};

TEST_P(response_meanings, rest_on_what_is_proven)
{
    EXPECT_EQ(meaning_of(GetParam().facts), GetParam().expected);
}

constexpr bool not_run = true;
constexpr bool sealed = true;

INSTANTIATE_TEST_SUITE_P(
    cases, response_meanings,
    testing::Values(
        meaning_case{"success",
                     facts_of(200, named_party::expected, !not_run, sealed),
                     answer},
        meaning_case{"success_without_proof_of_origin",
                     facts_of(200, named_party::expected, !not_run),
                     not_an_answer},
        meaning_case{"success_of_another_request",
                     facts_of(200, other, !not_run, sealed), not_an_answer},
        meaning_case{"success_that_names_no_request",
                     facts_of(200, missing, !not_run, sealed), not_an_answer},
        meaning_case{"success_that_claims_not_to_have_run",
                     facts_of(200, named_party::expected, not_run, sealed),
                     not_an_answer},
        meaning_case{"failure", facts_of(500, named_party::expected, !not_run),
                     answer},
        meaning_case{"refused_503",
                     facts_of(503, named_party::expected, not_run),
                     turned_away},
        meaning_case{"refused_429",
                     facts_of(429, named_party::expected, not_run),
                     turned_away},
        meaning_case{"refused_400",
                     facts_of(400, named_party::expected, not_run),
                     turned_away},
        meaning_case{"refusal_of_another_request",
                     facts_of(503, other, not_run), not_an_answer},
        meaning_case{"refusal_that_names_no_request",
                     facts_of(503, missing, not_run), not_an_answer},
        meaning_case{
            "refusal_by_another_server",
            facts_of(503, named_party::expected, not_run, !sealed, other),
            not_an_answer},
        meaning_case{
            "misdirected_to_another_server",
            facts_of(421, named_party::expected, !not_run, !sealed, other),
            not_here},
        meaning_case{"own_421_that_names_no_server",
                     facts_of(421, named_party::expected, !not_run),
                     unproven_promise},
        meaning_case{"own_421",
                     facts_of(421, named_party::expected, !not_run, !sealed,
                              named_party::expected),
                     unproven_promise},
        meaning_case{"model_not_loaded",
                     facts_of(421, named_party::expected, not_run), not_here},
        meaning_case{"misdirected_other_request", facts_of(421, other, not_run),
                     not_an_answer},
        meaning_case{"misdirected_that_names_no_request",
                     facts_of(421, missing, not_run), not_an_answer},
        meaning_case{"own_408", facts_of(408, named_party::expected, !not_run),
                     unproven_promise},
        meaning_case{"own_429", facts_of(429, named_party::expected, !not_run),
                     unproven_promise},
        meaning_case{"own_503",
                     facts_of(503, named_party::expected, !not_run, sealed),
                     unproven_promise}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::outcome
