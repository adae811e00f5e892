#include "fleet/frame_codec.hpp"
#include "fleet/keyed_queue.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

namespace cicadahub::fleet
{
namespace
{

TEST(keyed_queue, a_newer_message_replaces_an_older_one_of_its_key)
{
    keyed_queue<int> queue;
    queue.push("a", 1);
    queue.push("b", 2);
    queue.push("a", 3);
    EXPECT_EQ(queue.size(), 2u);
    EXPECT_EQ(queue.pop()->second, 3);
    EXPECT_EQ(queue.pop()->second, 2);
    EXPECT_FALSE(queue.pop());
}

wire::Frame sample_frame()
{
    wire::ConfigurationNotice notice;
    notice.name = "model.m";
    notice.version = 7;
    notice.spec = R"({"bytes":1})";
    wire::Frame frame;
    frame.exchange = 42;
    frame.is_reply = false;
    frame.body.__set_configuration_notice(notice);
    return frame;
}

TEST(frame_codec, decodes_an_encoded_frame)
{
    const std::string bytes = encode_frame(sample_frame());
    const wire::Frame decoded = decode_frame(bytes.substr(frame_length_bytes));
    EXPECT_EQ(decoded.exchange, 42);
    EXPECT_EQ(decoded.body.configuration_notice.name, "model.m");
    EXPECT_EQ(decoded.body.configuration_notice.version, 7);
}

/// Guards against input that crashes the decoder: frames are truncated at
/// random and have up to four bytes overwritten.
TEST(frame_codec, corrupt_frames_are_decoded_or_rejected)
{
    boost::random::mt19937_64 random(1);
    const auto pick = [&](std::size_t high)
    {
        return boost::random::uniform_int_distribution<std::size_t>(0, high)(
            random);
    };
    const std::string good_payload =
        encode_frame(sample_frame()).substr(frame_length_bytes);
    int refused = 0;
    for (int n = 0; n < 20'000; ++n)
    {
        std::string bytes =
            good_payload.substr(0, 1 + pick(good_payload.size() - 1));
        for (std::size_t flips = pick(4); flips > 0; --flips)
        {
            bytes[pick(bytes.size() - 1)] = static_cast<char>(pick(255));
        }
        try
        {
            decode_frame(bytes);
        }
        catch (const malformed_frame&)
        {
            ++refused;
        }
    }
    EXPECT_GT(refused, 1'000);
    EXPECT_THROW(decode_length({0xff, 0xff, 0xff, 0xff}), malformed_frame);
    EXPECT_THROW(decode_length({0, 0, 0, 0}), malformed_frame);
}

} // namespace
} // namespace cicadahub::fleet
