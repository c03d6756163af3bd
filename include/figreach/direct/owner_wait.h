#pragma once

#include "figreach/time.h"

namespace figreach::direct {

/// Returns for how long a request waits for its keys to get an owner before it is refused. Keys
/// that move are away while the work on them ends, those of a lost server until its grant has run
/// out. A caller has few tries; one that waits is served as soon as there is an owner.
[[nodiscard]] milliseconds longest_owner_wait(milliseconds latency_objective);

} // namespace figreach::direct
