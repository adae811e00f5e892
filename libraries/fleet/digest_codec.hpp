#pragma once

#include "digest_types.h"

#include <string>
#include <string_view>

namespace cicadahub::fleet
{

/// Writes a digest as one datagram.
std::string encode_digest(const wire::Digest& it);

/// Throws `malformed_frame`.
wire::Digest decode_digest(std::string_view datagram);

} // namespace cicadahub::fleet
