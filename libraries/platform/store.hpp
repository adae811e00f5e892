#pragma once

#include "platform/object_client.hpp"

namespace cicadahub::platform
{

/// Client of the platform that the daemon is built with. To support another
/// platform, replace it by another type that models `object_store`.
using store = object_client;

static_assert(object_store<store>);

} // namespace cicadahub::platform
