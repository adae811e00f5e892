#include "core/errors.hpp"

#include <gtest/gtest.h>

namespace cicadahub
{
namespace
{

class refusals : public testing::TestWithParam<std::size_t>
{
protected:
    static refusal_kind kind() { return static_cast<refusal_kind>(GetParam()); }
};

// Guards against a status that promises "not executed" for a request that a
// server may have executed, whichever part of the program refuses it.
TEST_P(refusals, never_promise_for_a_request_that_may_have_run)
{
    const refusal it = without_untrue_promise({kind(), false, seconds(1)});
    EXPECT_FALSE(promises_not_run(status_of(it.kind)));
    EXPECT_FALSE(it.is_not_run);
}

// Guards against counts of refusals that differ from what was sent.
TEST_P(refusals, are_thrown_as_they_are_sent)
{
    const refusal given{kind(), false, seconds(1)};
    EXPECT_EQ(refused_error(given).reason().kind,
              without_untrue_promise(given).kind);
}

TEST_P(refusals, keep_their_kind_for_a_request_that_was_not_executed)
{
    EXPECT_EQ(without_untrue_promise({kind(), true, {}}).kind, kind());
}

INSTANTIATE_TEST_SUITE_P(kinds, refusals,
                         testing::Range(std::size_t{0}, refusal_kind_count),
                         [](const auto& it)
                         {
                             std::string name(
                                 name_of(static_cast<refusal_kind>(it.param)));
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

struct status_case
{
    unsigned status;
    bool is_promise;
};

class statuses : public testing::TestWithParam<status_case>
{
};

TEST_P(statuses, promise_no_execution)
{
    EXPECT_EQ(promises_not_run(GetParam().status), GetParam().is_promise);
}

INSTANTIATE_TEST_SUITE_P(
    promises, statuses,
    testing::Values(status_case{200, false}, status_case{400, false},
                    status_case{404, false}, status_case{408, true},
                    status_case{421, true}, status_case{422, false},
                    status_case{429, true}, status_case{500, false},
                    status_case{502, false}, status_case{503, true},
                    status_case{504, false}),
    [](const auto& it) { return "status_" + std::to_string(it.param.status); });

} // namespace
} // namespace cicadahub
