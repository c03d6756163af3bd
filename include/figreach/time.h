#pragma once

#include <chrono>

namespace figreach {

/// A point on this process's monotonic clock. Decisions receive it, they never read a clock.
using monotonic_time = std::chrono::steady_clock::time_point;

/// A point of calendar time, for people only: no decision depends on it.
using calendar_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

} // namespace figreach
