#pragma once

#include "figreach/time.h"

namespace figreach {

/// The steady clock including time spent suspended, so that a leader's authority also expires
/// while the machine is suspended.
[[nodiscard]] monotonic_time time_with_suspension();

} // namespace figreach
