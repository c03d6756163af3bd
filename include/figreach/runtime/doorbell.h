#pragma once

#include <condition_variable>
#include <mutex>

#include "figreach/time.h"

namespace figreach {

/// Wakes a thread that consumes rings.
class doorbell {
public:
    void ring();
    /// Returns when the bell was rung since the last wait, or at `until`.
    void wait_until(monotonic_time until);

private:
    std::mutex guard;
    std::condition_variable rung_changed;
    bool rung = false;
};

} // namespace figreach
