#pragma once

#include "core/ids.hpp"

#include <string>
#include <string_view>

namespace cicadahub
{

/// Hex SHA-256 of `text`.
std::string sha256_hex(std::string_view text);

/// Hash by which a caller's API key is stored and looked up.
key_hash hash_of_key(std::string_view key);

/// Hex encoding of `bytes` cryptographically random bytes.
std::string random_hex(std::size_t bytes);

} // namespace cicadahub
