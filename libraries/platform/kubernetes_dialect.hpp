#pragma once

#include "platform/object_dialect.hpp"

namespace cicadahub::platform
{

/// An object API that follows the Kubernetes conventions:
/// `/apis/GROUP/VERSION/COLLECTION/NAME`, `metadata.resourceVersion`,
/// conditional PUT, `?watch=true` with one JSON event a line.
extern const object_dialect kubernetes_dialect;

} // namespace cicadahub::platform
