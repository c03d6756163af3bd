#pragma once

#include <condition_variable>
#include <mutex>

#include "figreach/time.h"

namespace figreach {

/// Wakes a thread that consumes rings.
class wake_signal {
public:
    void notify();
    /// Returns when the wakeup was notified since the last wait, or at `until`.
    void wait_until(monotonic_time until);

private:
    std::mutex mutex;
    std::condition_variable condition;
    bool notified = false;
};

} // namespace figreach
