#pragma once

#include "core/errors.hpp"

#include "fleet_types.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadahub::fleet
{

inline constexpr std::size_t frame_length_bytes = 4;
inline constexpr std::uint32_t max_frame_bytes = 8 * 1024 * 1024;

/// A frame or datagram from a peer cannot be decoded or exceeds the limits.
class malformed_frame : public error
{
public:
    using error::error;
};

/// Encodes a frame, preceded by its length.
std::string encode_frame(const wire::Frame& it);

/// Decodes the payload that follows the length; throws `malformed_frame`.
wire::Frame decode_frame(const std::string& payload);

/// Decodes the length of the payload; throws `malformed_frame` if it is zero or
/// over the limit.
std::uint32_t
decode_length(const std::array<unsigned char, frame_length_bytes>& bytes);

} // namespace cicadahub::fleet
