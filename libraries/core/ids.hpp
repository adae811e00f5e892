#pragma once

#include "core/strong_type.hpp"

#include <cstdint>
#include <string>

namespace cicadahub
{

using daemon_id = strong_type<struct daemon_id_tag, std::string>;
using server_id = strong_type<struct server_id_tag, std::string>;
using data_centre_id = strong_type<struct data_centre_id_tag, std::string>;
using region_id = strong_type<struct region_id_tag, std::string>;
using organisation_id = strong_type<struct organisation_id_tag, std::string>;
using class_id = strong_type<struct class_id_tag, std::string>;
using model_id = strong_type<struct model_id_tag, std::string>;
using service_id = strong_type<struct service_id_tag, std::string>;
using adapter_id = strong_type<struct adapter_id_tag, std::string>;
using route_id = strong_type<struct route_id_tag, std::string>;
using key_id = strong_type<struct key_id_tag, std::string>;
using shard_id = strong_type<struct shard_id_tag, std::string>;
/// Version of the software that a backend server runs, not of its weights.
using software_version = strong_type<struct software_version_tag, std::string>;
using request_id = strong_type<struct request_id_tag, std::string>;

/// Hex SHA-256 of a caller's API key. The key itself is never stored.
using key_hash = strong_type<struct key_hash_tag, std::string>;

/// Version of one object in the platform's object API; grows with each write.
/// See core/store_version.hpp for its parts.
using object_version = strong_type<struct object_version_tag, std::uint64_t>;

/// Fencing token of a shard: grows by one each time the shard's lease changes
/// its holder, so that orders of a former holder can be rejected.
using epoch_number = strong_type<struct epoch_number_tag, std::uint64_t>;

/// Identifies one decision to load a replica; unique within its shard.
using generation_number =
    strong_type<struct generation_number_tag, std::uint64_t>;

} // namespace cicadahub
