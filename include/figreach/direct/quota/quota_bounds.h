#pragma once

#include "figreach/time.h"

namespace figreach::direct {

/// By how much the requests of a tenant that run on all hosts together may exceed its limit: within
/// any `window` at most (rate * window + burst) * (1 + excess) + slack requests run.
struct quota_bounds {
    milliseconds window{5000};
    double excess = 0.1;
    double slack = 20.0; ///< requests
};

} // namespace figreach::direct
