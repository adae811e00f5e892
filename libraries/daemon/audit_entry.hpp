#pragma once

#include "core/ids.hpp"

#include <functional>
#include <string>

namespace cicadahub::daemon
{

/// One change or decision.
struct audit_entry
{
    /// Operator or daemon that made it.
    std::string actor;
    /// What was done, such as "apply" or "load".
    std::string action;
    /// Object, shard or replica that it was done to.
    std::string target;
    object_version before;
    object_version after;
};

using audit_handler = std::function<void(audit_entry)>;

} // namespace cicadahub::daemon
