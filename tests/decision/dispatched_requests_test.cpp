#include "decision/suspicion/dispatched_requests.hpp"

#include <gtest/gtest.h>

namespace cicadahub::suspicion
{
namespace
{

constexpr time_point start{std::chrono::seconds(100)};
const fingerprint request("r");
const part_fingerprint part("p");

struct lasting_case
{
    const char* name;
    std::optional<milliseconds> began;
    /// Last bytes from the server.
    milliseconds server_contact;
    bool has_lasted;
};

void PrintTo(const lasting_case& it, std::ostream* out)
{
    *out << it.name;
}

class lasting_requests : public testing::TestWithParam<lasting_case>
{
};

// Guards against requests that are cleared although nothing shows that their
// server has begun to run them.
TEST_P(lasting_requests, are_those_that_the_server_has_run)
{
    const lasting_case& it = GetParam();
    suspect_table suspects({});
    suspects.on_crash(request, start);
    dispatched_requests subject;
    const auto began =
        it.began ? std::optional(start + *it.began) : std::nullopt;
    const auto entry = subject.add(
        {request,
         {part},
         began,
         std::make_shared<const time_point>(start + it.server_contact)});
    const auto parts = subject.lasting_parts();
    const auto requests = subject.lasting_suspects(suspects);
    ASSERT_EQ(parts.size(), it.has_lasted ? 1U : 0U);
    ASSERT_EQ(requests.size(), parts.size());
    if (it.has_lasted)
    {
        EXPECT_EQ(parts.at(part), *began);
        EXPECT_EQ(requests.at(request), *began);
    }
    subject.remove(entry);
    EXPECT_TRUE(subject.lasting_parts().empty());
}

INSTANTIATE_TEST_SUITE_P(
    suspicion, lasting_requests,
    testing::Values(lasting_case{"long", milliseconds(0), sound_run_time, true},
                    lasting_case{"short", milliseconds(0),
                                 sound_run_time - milliseconds(1), false},
                    lasting_case{"waiting_at_the_server", std::nullopt,
                                 seconds(9), false},
                    lasting_case{"at_a_silent_server", milliseconds(0),
                                 milliseconds(-50), false}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(dispatched_requests, tell_the_newest_run_of_each_part)
{
    suspect_table suspects({});
    dispatched_requests subject;
    for (const milliseconds began : {milliseconds(500), milliseconds(0)})
    {
        subject.add({request,
                     {part},
                     start + began,
                     std::make_shared<const time_point>(start + seconds(9))});
    }
    EXPECT_EQ(subject.lasting_parts().at(part), start + milliseconds(500));
    // It is not suspected.
    EXPECT_TRUE(subject.lasting_suspects(suspects).empty());
}

} // namespace
} // namespace cicadahub::suspicion
