#pragma once

#include "figreach/control.h"

namespace figreach {

/// Logs the differences between two snapshots: new versions of the description and of partitions,
/// servers that this host started or stopped coordinating, and hosts that joined or left. `before`
/// may be null.
void log_route_changes(const routing_snapshot* before, const routing_snapshot& now);

} // namespace figreach
