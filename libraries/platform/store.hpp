#pragma once

#include "platform/object_client.hpp"

namespace cicadahub::platform
{

/// The platform's client that the daemon is built with. Another platform needs
/// another type here that models `object_store`.
using store = object_client;

static_assert(object_store<store>);

} // namespace cicadahub::platform
