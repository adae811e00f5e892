#pragma once

#include "http/types.hpp"

#include <boost/asio/buffer.hpp>

#include <array>

namespace cicadahub::http
{

/// A message's head as it goes over the wire. Beast's serializer walks a
/// nested view of the header fields for each write; one string costs less.
std::string serialize_head(const request& message);
std::string serialize_head(const response& message);

/// Head and body, to be written together. Both must outlive the write.
inline std::array<net::const_buffer, 2> wire_buffers(const std::string& head,
                                                     const std::string& body)
{
    return {net::buffer(head), net::buffer(body)};
}

} // namespace cicadahub::http
