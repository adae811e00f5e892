#pragma once

#include "decision/placement/types.hpp"

#include <boost/json/object.hpp>

namespace cicadahub::daemon
{

/// Name of the platform's object that stores the placement document.
inline constexpr const char* placement_object_name = "placement-0";

boost::json::object to_json(const placement::document& it);

/// Throws `malformed_document`.
placement::document placement_from_json(const boost::json::object& json);

} // namespace cicadahub::daemon
