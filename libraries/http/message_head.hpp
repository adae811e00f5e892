#pragma once

#include "http/types.hpp"

#include <boost/asio/buffer.hpp>

#include <array>

namespace cicadahub::http
{

/// Serializes the start line and the header fields of a message into one
/// string. Beast's serializer iterates over nested buffer views of the fields
/// on each write, which costs more.
std::string serialize_head(const request& message);
std::string serialize_head(const response& message);

/// Buffers that send head and body in one gather write. Both strings must
/// outlive the write.
inline std::array<net::const_buffer, 2> wire_buffers(const std::string& head,
                                                     const std::string& body)
{
    return {net::buffer(head), net::buffer(body)};
}

} // namespace cicadahub::http
