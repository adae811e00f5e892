#pragma once

#include "decision/once/types.hpp"

#include <boost/json/object.hpp>

namespace cicadahub::daemon
{

boost::json::object to_json(const once::ledger_document& it);

/// Throws `malformed_document`.
once::ledger_document ledger_from_json(const boost::json::object& json);

} // namespace cicadahub::daemon
