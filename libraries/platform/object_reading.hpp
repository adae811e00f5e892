#pragma once

#include "platform/stored_object.hpp"

#include <boost/json/object.hpp>

#include <functional>
#include <string_view>
#include <vector>

namespace cicadahub::platform
{

/// Reads an object of a dialect; throws `malformed_document`. One without a
/// spec is read with an empty one, which the readers of its collection reject.
using object_reader = stored_object (*)(const boost::json::object&);

/// Receives the reason why an object, or a part of it, could not be read.
using reading_log = std::function<void(const std::exception& reason)>;

/// Appends one object of a list or watch. Other writers write to some
/// collections: one that cannot be read is appended with its metadata only, or
/// left out if these cannot be read either, and hides no other.
void append_object(std::string_view text, bool is_deleted, object_reader read,
                   const reading_log& log, std::vector<stored_object>& to);

} // namespace cicadahub::platform
