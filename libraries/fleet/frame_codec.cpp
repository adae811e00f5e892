#include "fleet/frame_codec.hpp"

#include <boost/endian/conversion.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace cicadahub::fleet
{

namespace
{

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using protocol = TCompactProtocolT<TMemoryBuffer>;

/// Limits the memory that a forged length inside a frame can make the codec
/// allocate.
constexpr std::int32_t max_string_bytes = max_frame_bytes;
constexpr std::int32_t max_container_elements = 1'000'000;

} // namespace

std::string encode_frame(const wire::Frame& it)
{
    auto buf = std::make_shared<TMemoryBuffer>();
    protocol codec(buf);
    it.write(&codec);
    const std::string payload = buf->getBufferAsString();
    std::array<unsigned char, frame_length_bytes> length{};
    boost::endian::store_big_u32(length.data(),
                                 static_cast<std::uint32_t>(payload.size()));
    std::string bytes(length.begin(), length.end());
    bytes += payload;
    return bytes;
}

wire::Frame decode_frame(const std::string& payload)
{
    auto* data =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(payload.data()));
    auto buf = std::make_shared<TMemoryBuffer>(
        data, static_cast<std::uint32_t>(payload.size()));
    protocol codec(buf, max_string_bytes, max_container_elements);
    wire::Frame it;
    try
    {
        it.read(&codec);
    }
    catch (const apache::thrift::TException& reason)
    {
        throw malformed_frame(reason.what());
    }
    return it;
}

std::uint32_t
decode_length(const std::array<unsigned char, frame_length_bytes>& bytes)
{
    const std::uint32_t length = boost::endian::load_big_u32(bytes.data());
    if (length == 0 || length > max_frame_bytes)
    {
        throw malformed_frame("the frame length is out of range");
    }
    return length;
}

} // namespace cicadahub::fleet
