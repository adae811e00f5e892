#include "entry/requests/relay_codec.hpp"

#include "core/errors.hpp"

#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>

namespace cicadahub::entry
{
namespace
{

http::request parse(const std::string& bytes)
{
    http::beast_http::request_parser<http::beast_http::string_body> parser;
    boost::system::error_code ec;
    parser.eager(true);
    parser.put(boost::asio::buffer(bytes), ec);
    EXPECT_FALSE(ec) << ec.message();
    return parser.release();
}

http::request caller_request()
{
    http::request it{http::verb::post, "/stream/x?a=b", 11};
    it.set("Host", "trust.example");
    it.set("X-Own", "1");
    it.set("X-Hop", "2");
    it.set(http::field::connection, "X-Hop");
    it.set(http::field::authorization, "Bearer secret");
    it.set("Cicadahub-Relay-Organisation", "forged");
    it.set(http::field::transfer_encoding, "chunked");
    it.body() = "prompt";
    return it;
}

relayed_request relay_order()
{
    relayed_request it;
    it.added.server = server_id("e1");
    it.added.organisation = organisation_id("trust");
    it.added.time_left = milliseconds(1'234);
    it.added.after_event = "7";
    it.added.urgency = 3;
    it.incarnation = 99;
    it.fingerprint = suspicion::fingerprint("abc");
    it.use_new_connection = true;
    it.books_place = true;
    return it;
}

TEST(relay_codec, keeps_the_request_and_what_was_decided)
{
    const http::request caller = caller_request();
    http::request message =
        parse(relayed_head(caller, relay_order()) + caller.body());
    ASSERT_TRUE(is_relayed(message));
    const relayed_request it = unwrap_relayed(message);
    const relayed_request expected = relay_order();
    EXPECT_EQ(it.added.server, expected.added.server);
    EXPECT_EQ(it.added.organisation, expected.added.organisation);
    EXPECT_EQ(it.added.time_left, expected.added.time_left);
    EXPECT_EQ(it.added.after_event, expected.added.after_event);
    EXPECT_EQ(it.added.urgency, expected.added.urgency);
    EXPECT_EQ(it.incarnation, expected.incarnation);
    EXPECT_EQ(it.fingerprint, expected.fingerprint);
    EXPECT_EQ(it.use_new_connection, expected.use_new_connection);
    EXPECT_EQ(it.books_place, expected.books_place);
    EXPECT_EQ(message.method(), caller.method());
    EXPECT_EQ(message.target(), caller.target());
    EXPECT_EQ(message.body(), caller.body());
    EXPECT_EQ(message["X-Own"], "1");
    // The server must not get the fields that the caller's Connection names.
    EXPECT_EQ(message[http::field::connection], "X-Hop");
    EXPECT_FALSE(is_relayed(message));
}

TEST(relay_codec, leaves_the_callers_key_out)
{
    const std::string head = relayed_head(caller_request(), relay_order());
    EXPECT_EQ(head.find("secret"), std::string::npos);
}

TEST(relay_codec, leaves_out_what_only_daemons_may_set)
{
    relayed_request order = relay_order();
    order.added.organisation.reset();
    const http::request caller = caller_request();
    http::request message = parse(relayed_head(caller, order) + caller.body());
    EXPECT_FALSE(unwrap_relayed(message).added.organisation);
}

struct malformed_case
{
    const char* name;
    const char* field;
    const char* value;
};

void PrintTo(const malformed_case& it, std::ostream* out)
{
    *out << it.name;
}

class malformed_relays : public testing::TestWithParam<malformed_case>
{
};

TEST_P(malformed_relays, are_refused)
{
    const http::request caller = caller_request();
    http::request message =
        parse(relayed_head(caller, relay_order()) + caller.body());
    message.set(GetParam().field, GetParam().value);
    EXPECT_THROW(unwrap_relayed(message), malformed_document);
}

INSTANTIATE_TEST_SUITE_P(
    relay_codec, malformed_relays,
    testing::Values(
        malformed_case{"no_incarnation", "Cicadahub-Relay-Incarnation", ""},
        malformed_case{"text", "Cicadahub-Relay-Incarnation", "x"},
        malformed_case{"no_time", "Cicadahub-Relay-Time-Left", ""},
        malformed_case{"negative", "Cicadahub-Relay-Time-Left", "-1"},
        malformed_case{"beyond_any_request", "Cicadahub-Relay-Time-Left",
                       "9000000000000000000"},
        malformed_case{"too_long", "Cicadahub-Relay-Time-Left",
                       "99999999999999999999"}),
    [](const auto& it) { return std::string(it.param.name); });

class relay_ends : public testing::TestWithParam<exchange_end>
{
};

TEST_P(relay_ends, are_read_as_they_were_made)
{
    const http::response answer =
        make_relay_end({GetParam(), false, "the reason", {}});
    const auto it = read_relay_end(answer);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->end, GetParam());
    EXPECT_EQ(it->reason, "the reason");
    EXPECT_FALSE(it->is_unavailable);
}

INSTANTIATE_TEST_SUITE_P(
    relay_codec, relay_ends,
    testing::Values(exchange_end::not_sent, exchange_end::withheld,
                    exchange_end::turned_away, exchange_end::not_here,
                    exchange_end::failed, exchange_end::out_of_time,
                    exchange_end::caller_gone),
    [](const auto& it)
    {
        std::string name(name_of(it.param));
        std::replace(name.begin(), name.end(), '-', '_');
        return name;
    });

TEST(relay_codec, tells_the_wait_for_a_limited_server)
{
    const auto it = read_relay_end(
        make_relay_end({exchange_end::withheld, false, {}, milliseconds(350)}));
    ASSERT_TRUE(it);
    EXPECT_EQ(it->limit_wait, milliseconds(350));
    const auto without =
        read_relay_end(make_relay_end({exchange_end::withheld, false, {}, {}}));
    ASSERT_TRUE(without);
    EXPECT_FALSE(without->limit_wait);
}

TEST(relay_codec, ignores_a_wait_that_is_none)
{
    http::response answer =
        make_relay_end({exchange_end::withheld, false, {}, {}});
    answer.set("Cicadahub-Relay-Limit-Wait", "-1");
    EXPECT_FALSE(read_relay_end(answer)->limit_wait);
    answer.set("Cicadahub-Relay-Limit-Wait", "soon");
    EXPECT_FALSE(read_relay_end(answer)->limit_wait);
}

TEST(relay_codec, tells_that_nothing_is_forwarded)
{
    const auto it =
        read_relay_end(make_relay_end({exchange_end::not_sent, true, {}, {}}));
    ASSERT_TRUE(it);
    EXPECT_EQ(it->end, exchange_end::not_sent);
    EXPECT_TRUE(it->is_unavailable);
}

// Guards against a promise that a request has not run, taken from an end that
// this version does not know.
TEST(relay_codec, takes_an_unknown_end_for_a_failure)
{
    http::response answer =
        make_relay_end({exchange_end::not_sent, false, {}, {}});
    answer.set("Cicadahub-Relay-End", "something-new");
    const auto it = read_relay_end(answer);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->end, exchange_end::failed);
    EXPECT_FALSE(it->is_unavailable);
}

TEST(relay_codec, takes_a_response_without_an_end_for_the_servers)
{
    EXPECT_FALSE(read_relay_end(http::response{http::status::ok, 11}));
}

} // namespace
} // namespace cicadahub::entry
