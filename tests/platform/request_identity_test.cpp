#include "requests.hpp"
#include "servers.hpp"

#include "core/errors.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

using outcome::named_party;

http::request request_with(const std::vector<std::string>& ids)
{
    http::request it{http::verb::post, "/post/1", 11};
    for (const std::string& id : ids)
    {
        it.insert("Request-Id", id);
    }
    return it;
}

struct request_case
{
    const char* name;
    std::vector<std::string> ids;
};

class unidentified_requests : public testing::TestWithParam<request_case>
{
};

// A response is matched to its request by the id alone, so that a request
// without one could be sent, but never answered.
TEST_P(unidentified_requests, are_malformed)
{
    EXPECT_THROW(requests.read_request(request_with(GetParam().ids)),
                 malformed_document);
}

INSTANTIATE_TEST_SUITE_P(cases, unidentified_requests,
                         testing::Values(request_case{"none", {}},
                                         request_case{"empty", {""}},
                                         request_case{"two", {"r", "s"}}),
                         [](const auto& it)
                         { return std::string(it.param.name); });

TEST(requests, are_identified_by_their_id)
{
    EXPECT_EQ(requests.read_request(request_with({"r"})).id, request_id("r"));
}

// A caller that lists the id among the fields of its connection must not remove
// what identifies the response.
TEST(requests, are_forwarded_with_their_id)
{
    http::request it = request_with({"r"});
    it.set(http::field::connection, "Request-Id");
    const entry::forwarding added;
    EXPECT_NE(servers.forward_head(it, added).find("Request-Id: r\r\n"),
              std::string::npos);
}

TEST(refusals, of_requests_that_may_have_run_promise_nothing)
{
    const refusal it{refusal_kind::no_capacity, false, {}};
    EXPECT_FALSE(promises_not_run(requests.refuse(it).result_int()));
}

struct response_case
{
    const char* name;
    std::vector<std::string> ids;
    named_party expected;
};

class response_identities : public testing::TestWithParam<response_case>
{
};

TEST_P(response_identities, are_read_from_one_id_only)
{
    http::response it{http::status::ok, 11};
    for (const std::string& id : GetParam().ids)
    {
        it.insert("Request-Id", id);
    }
    EXPECT_EQ(
        servers.read_answer(it, request_id("r"), server_id("e")).facts.request,
        GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    cases, response_identities,
    testing::Values(response_case{"none", {}, named_party::missing},
                    response_case{"expected", {"r"}, named_party::expected},
                    response_case{"other", {"s"}, named_party::other},
                    response_case{"two", {"r", "s"}, named_party::other}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::adapter
