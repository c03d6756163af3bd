#pragma once

#include "figreach/time.h"

namespace figreach::direct {

/// Of calls to the store and to other hosts.
inline constexpr milliseconds call_timeout{500};
inline constexpr milliseconds write_retry_interval{100};
/// Between two looks at the keys, and at grants that are under way.
inline constexpr milliseconds tick_interval{20};

} // namespace figreach::direct
