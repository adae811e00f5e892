#include "entry/requests/stream_continuity.hpp"

#include "entry/entry_state.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace cicadahub::entry
{
namespace
{

constexpr document_dialect documents{"main", nullptr, nullptr};
constexpr milliseconds stream_length{8'000};
const request_id request("r");
const organisation_id organisation("trust");
const continuity::request_path path{"trust.example", "/stream/x"};
const route_id route("route");
const continuity::stream_origin origin{service_id("engines"),
                                       software_version("v1")};
const std::string by_path =
    continuity::key_of(request, organisation, path).value();
const std::string by_route =
    continuity::key_by_route(request, organisation, route).value();
const std::string by_public_route =
    continuity::key_by_route(request, organisation_id(), route).value();

struct peer_case
{
    const char* name;
    bool names_streams_by_path;
    bool is_route_public;
    /// By which the peer is told of a stream and asked for it.
    std::vector<std::string> keys;
};

void PrintTo(const peer_case& it, std::ostream* out)
{
    *out << it.name;
}

/// A host with one peer, which thus keeps all of its streams.
class streams_of_a_peer : public testing::TestWithParam<peer_case>
{
protected:
    streams_of_a_peer()
    {
        fleet::wire::Digest digest;
        digest.sender = "peer";
        digest.incarnation = 1;
        digest.number = 1;
        digest.names_streams_by_path = GetParam().names_streams_by_path;
        m_state.fleet.on_digest(digest, m_address, monotonic_clock::now());
        m_state.continuity.set_handlers(
            {[this](const fleet::wire::Digest& it, const http::endpoint&)
             { on_sent(it); },
             []() -> net::awaitable<bool> { co_return true; },
             []
             {
                 return false;
             }});
    }

    stream_identity stream() const
    {
        return {request, organisation, path, route, GetParam().is_route_public};
    }

    void begin()
    {
        m_state.continuity.on_begun(stream(), origin,
                                    monotonic_clock::now() + stream_length);
    }

    std::optional<continuity::stream_origin> take_up()
    {
        auto found = net::co_spawn(
            m_context,
            m_state.continuity.find_origin(request_id("t"), stream()),
            net::use_future);
        m_context.run_for(seconds(2));
        return found.get();
    }

    std::vector<std::string> told;
    std::vector<std::string> asked;
    /// The peer knows the stream by this key only.
    std::string known_key;

private:
    void on_sent(const fleet::wire::Digest& it)
    {
        for (const fleet::wire::BegunStream& begun : it.begun_streams)
        {
            told.push_back(begun.key);
        }
        fleet::wire::Digest answer;
        for (const std::string& key : it.asked_streams)
        {
            asked.push_back(key);
            fleet::wire::BegunStream& known =
                answer.begun_streams.emplace_back();
            known.key = key;
            if (key == known_key)
            {
                known.service_name = origin.service.value();
                known.version = origin.version.value();
                known.left_ms =
                    static_cast<std::int32_t>(stream_length.count());
            }
        }
        if (!it.asked_streams.empty())
        {
            net::post(m_context, [this, answer]
                      { m_state.continuity.on_message(answer, m_address); });
        }
    }

    net::io_context m_context{1};
    entry_settings m_settings;
    entry_state m_state{m_context, m_settings, documents};
    const http::endpoint m_address{net::ip::address_v4::loopback(), 9};
};

// Guards against streams that hosts of two builds do not find at each other,
// and against twice the messages where there is one build.
TEST_P(streams_of_a_peer, are_told_by_the_keys_that_it_looks_for)
{
    begin();
    EXPECT_EQ(told, GetParam().keys);
    EXPECT_EQ(take_up(), origin);
    EXPECT_TRUE(asked.empty());
}

TEST_P(streams_of_a_peer, are_found_by_the_key_by_which_it_knows_them)
{
    // A former build knows it by the last key only.
    known_key = GetParam().keys.back();
    EXPECT_EQ(take_up(), origin);
    EXPECT_EQ(asked, GetParam().keys);
}

TEST_P(streams_of_a_peer, have_no_origin_that_it_does_not_know)
{
    EXPECT_FALSE(take_up());
    EXPECT_EQ(asked, GetParam().keys);
}

INSTANTIATE_TEST_SUITE_P(
    stream_continuity, streams_of_a_peer,
    testing::Values(peer_case{"same_build", true, false, {by_path}},
                    peer_case{
                        "former_build", false, false, {by_path, by_route}},
                    peer_case{"former_build_and_public_route",
                              false,
                              true,
                              {by_path, by_public_route}}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::entry
