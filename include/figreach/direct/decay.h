#pragma once

#include <cmath>

#include "figreach/time.h"

namespace figreach::direct {

/// Returns the factor of an exponential decay to 1/e within `memory` for the time passed.
[[nodiscard]] inline double decay_factor(monotonic_time::duration passed, milliseconds memory)
{
    const std::chrono::duration<double> time = passed;
    const std::chrono::duration<double> scale = memory;
    return std::exp(-time / scale);
}

} // namespace figreach::direct
