#pragma once

#include "figreach/time.h"

namespace figreach::direct {

/// After which a caller may come back, before random time is added.
inline constexpr milliseconds no_owner_retry_delay{400};
inline constexpr milliseconds refused_retry_delay{250};
/// An operator has to mend the configuration first.
inline constexpr milliseconds unreadable_route_retry_delay{2000};

} // namespace figreach::direct
