#pragma once

#include "platform/object_dialect.hpp"

namespace cicadahub::platform
{

/// Dialect of object APIs that follow the Kubernetes conventions:
/// `/apis/GROUP/VERSION/COLLECTION/NAME`, `metadata.resourceVersion`,
/// conditional PUT, `?watch=true` with one JSON event per line.
extern const object_dialect kubernetes_dialect;

} // namespace cicadahub::platform
