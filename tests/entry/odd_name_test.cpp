#include "core/errors.hpp"
#include "core/json_reader.hpp"
#include "core/structured_log.hpp"
#include "documents.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/requests/relay_codec.hpp"
#include "fleet/digest_codec.hpp"
#include "odd_names.hpp"
#include "servers.hpp"

#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace cicadahub::entry
{
namespace
{

http::request parse(const std::string& head)
{
    http::beast_http::request_parser<http::beast_http::string_body> parser;
    boost::system::error_code ec;
    parser.eager(true);
    parser.put(boost::asio::buffer(head), ec);
    EXPECT_FALSE(ec) << ec.message();
    return parser.release();
}

forwarding added_for(const std::string& server)
{
    forwarding added;
    added.server = server_id(server);
    added.time_left = milliseconds(100);
    return added;
}

serving::server_entry read_entry(const std::string& name)
{
    platform::stored_object it;
    it.name = name;
    it.version = object_version(7);
    it.spec = {{"service", "s"},
               {"address", "127.0.0.1:80"},
               {"zone", "z"},
               {"slots", 4},
               {"state", "ready"}};
    return adapter::documents.read_server(it);
}

bool is_usable(const std::string& name)
{
    try
    {
        return read_entry(name).id.value() == name;
    }
    catch (const malformed_document&)
    {
        return false;
    }
}

class odd_names : public testing::TestWithParam<fakes::odd_name>
{
};

// Each request to a server names it in a field. A name that would change the
// field, or add another one, names no server to use.
TEST_P(odd_names, of_servers_fit_a_field_or_name_no_server)
{
    const std::string& name = GetParam().text;
    const std::string label = GetParam().label;
    const bool is_expected =
        label != "nul" && label != "blanks_only" &&
        label != "blank_at_the_end" && label != "control_character" &&
        label != "delete_character" && label != "line_end" &&
        label != "line_feed" && label != "mixture";
    ASSERT_EQ(is_usable(name), is_expected);
    if (!is_expected)
    {
        return;
    }
    const http::request caller{http::verb::get, "/read/1", 11};
    const http::request forwarded =
        parse(adapter::servers.forward_head(caller, added_for(name)));
    EXPECT_EQ(forwarded["Expect-Instance"], name);
    relayed_request order;
    order.added = added_for(name);
    order.fingerprint = suspicion::fingerprint("abc");
    http::request relayed = parse(relayed_head(caller, order));
    EXPECT_EQ(unwrap_relayed(relayed).added.server.value(), name);
    const http::request report =
        adapter::servers.make_report_request(server_id(name));
    EXPECT_EQ(report["Expect-Instance"], name);
}

TEST_P(odd_names, reach_other_hosts_in_digests)
{
    fleet::wire::LeavingServer leaving;
    leaving.server = GetParam().text;
    fleet::wire::Digest digest;
    digest.sender = "host";
    digest.leaving_servers.push_back(leaving);
    const auto got = fleet::decode_digest(fleet::encode_digest(digest));
    ASSERT_EQ(got.leaving_servers.size(), 1U);
    EXPECT_EQ(got.leaving_servers[0].server, GetParam().text);
}

TEST_P(odd_names, are_logged_in_one_line)
{
    testing::internal::CaptureStdout();
    open_structured_log("host");
    log_event(severity::info, event_number::server_listed,
              {{"server", GetParam().text}});
    close_structured_log();
    const std::string text = testing::internal::GetCapturedStdout();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
    EXPECT_EQ(json_reader(parse_json_object(text)).text("server"),
              GetParam().text);
}

TEST_P(odd_names, do_not_add_lines_to_the_metrics)
{
    const auto lines_with = [](const std::string& name)
    {
        entry_metrics metrics;
        metrics.set_evacuated({}, {data_centre_id(name)});
        const std::string text = metrics.text();
        return std::count(text.begin(), text.end(), '\n');
    };
    EXPECT_EQ(lines_with(GetParam().text), lines_with("usual"));
}

INSTANTIATE_TEST_SUITE_P(entry, odd_names,
                         testing::ValuesIn(fakes::odd_names()),
                         [](const auto& it)
                         { return std::string(it.param.label); });

} // namespace
} // namespace cicadahub::entry
