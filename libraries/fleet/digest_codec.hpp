#pragma once

#include "digest_types.h"

#include <string>
#include <string_view>

namespace cicadahub::fleet
{

/// Encodes a digest as the payload of one datagram.
std::string encode_digest(const wire::Digest& it);

/// Decodes a datagram; throws `malformed_frame` if it is not a digest.
wire::Digest decode_digest(std::string_view datagram);

} // namespace cicadahub::fleet
