#include "fleet/digest_codec.hpp"

#include "fleet/frame_codec.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace cicadahub::fleet
{

namespace
{

using apache::thrift::transport::TMemoryBuffer;
using protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

/// Limits the memory that a forged length inside a datagram can make the codec
/// allocate.
constexpr std::int32_t max_string_bytes = 65'536;
constexpr std::int32_t max_container_elements = 65'536;

} // namespace

std::string encode_digest(const wire::Digest& it)
{
    auto buf = std::make_shared<TMemoryBuffer>();
    protocol codec(buf);
    it.write(&codec);
    return buf->getBufferAsString();
}

wire::Digest decode_digest(std::string_view datagram)
{
    auto* data =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(datagram.data()));
    auto buf = std::make_shared<TMemoryBuffer>(
        data, static_cast<std::uint32_t>(datagram.size()));
    protocol codec(buf, max_string_bytes, max_container_elements);
    wire::Digest it;
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

} // namespace cicadahub::fleet
