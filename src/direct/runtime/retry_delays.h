#pragma once

#include "figreach/time.h"

namespace figreach::direct {

/// After which a caller may come back, before random time is added.
inline constexpr milliseconds no_owner_retry_delay{400};
inline constexpr milliseconds refused_retry_delay{250};

} // namespace figreach::direct
