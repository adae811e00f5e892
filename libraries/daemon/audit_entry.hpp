#pragma once

#include "core/ids.hpp"

#include <functional>
#include <string>

namespace cicadahub::daemon
{

/// Audit record of one configuration change or control-plane decision.
struct audit_entry
{
    /// Operator or daemon that made the change or decision.
    std::string actor;
    /// What was done, such as "apply" or "load".
    std::string action;
    /// Object, shard or replica that the action applies to.
    std::string target;
    /// Object version, epoch of the shard or replica generation before and
    /// after the action; 0 if there was none.
    object_version before;
    object_version after;
};

using audit_handler = std::function<void(audit_entry)>;

} // namespace cicadahub::daemon
