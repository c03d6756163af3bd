#pragma once

#include <chrono>

namespace figreach {

/// A point on the monotonic clock of this process. State machines receive it as an argument and
/// never read a clock.
using monotonic_time = std::chrono::steady_clock::time_point;

/// A point in calendar time. For display only; no decision depends on it.
using calendar_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

} // namespace figreach
