#pragma once

#include "figreach/control.h"

namespace figreach {

/// Logs what changed between two snapshots: the versions in force, servers that this host began or
/// ceased to coordinate, hosts that came or went. `before` may be null.
void log_route_changes(const routing_snapshot* before, const routing_snapshot& now);

} // namespace figreach
