#pragma once

#include "decision/ownership/shard_lease.hpp"
#include "platform/stored_object.hpp"

namespace cicadahub::daemon
{

boost::json::object to_json(const ownership::lease_record& it);

/// Throws `malformed_document`.
ownership::lease_record lease_from_json(const boost::json::object& json);

ownership::lease_write_result result_of(platform::write_outcome it);

} // namespace cicadahub::daemon
