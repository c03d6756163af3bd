#pragma once

#include <condition_variable>
#include <mutex>

#include "figreach/time.h"

namespace figreach {

/// Wakes a thread that consumes ring buffers.
class wake_signal {
public:
    /// Wakes the waiting thread, or makes its next wait return at once.
    void notify();
    /// Returns once notify() has been called since the last wait, or at `until`.
    void wait_until(monotonic_time until);

private:
    std::mutex mutex;
    std::condition_variable condition;
    bool notified = false;
};

} // namespace figreach
