#include "decision/suspicion/suspect_table.hpp"

#include <gtest/gtest.h>

namespace cicadahub::suspicion
{
namespace
{

const fingerprint request("r");
const time_point start{};

TEST(suspect_table, refuses_after_the_second_crash_counted_by_any_daemon)
{
    suspect_table here({});
    suspect_table there({});
    there.on_notice(request, here.on_crash(request, start), start);
    EXPECT_TRUE(there.is_suspect(request));
    EXPECT_FALSE(there.is_refused(request));
    here.on_notice(request, there.on_crash(request, start), start);
    EXPECT_TRUE(here.is_refused(request));
    EXPECT_TRUE(there.is_refused(request));
}

TEST(suspect_table, clears_a_request_that_completed)
{
    suspect_table it({});
    it.on_crash(request, start);
    it.on_completed(request);
    EXPECT_FALSE(it.is_suspect(request));
    EXPECT_EQ(it.on_crash(request, start), 1u);
}

TEST(suspect_table, runs_one_suspect_at_a_time_on_a_server)
{
    suspect_table it({});
    EXPECT_TRUE(it.try_isolate(server_id("s")));
    EXPECT_FALSE(it.try_isolate(server_id("s")));
    it.end_isolation(server_id("s"));
    EXPECT_TRUE(it.try_isolate(server_id("s")));
}

TEST(suspect_table, is_bounded)
{
    suspicion_limits limits;
    limits.entries = 10;
    suspect_table it(limits);
    for (int n = 0; n < 100; ++n)
    {
        it.on_crash(fingerprint(std::to_string(n)), start + milliseconds(n));
    }
    EXPECT_LE(it.size(), 10u);
    EXPECT_TRUE(it.is_suspect(fingerprint("99")));
}

} // namespace
} // namespace cicadahub::suspicion
