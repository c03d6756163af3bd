#pragma once

#include <cmath>

#include "figreach/time.h"

namespace figreach::direct {

/// What is left of one that fades to 1/e within `memory`, after a time that has passed.
[[nodiscard]] inline double decay_factor(monotonic_time::duration passed, milliseconds memory)
{
    const std::chrono::duration<double> time = passed;
    const std::chrono::duration<double> scale = memory;
    return std::exp(-time / scale);
}

} // namespace figreach::direct
