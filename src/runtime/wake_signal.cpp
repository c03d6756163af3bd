#include "figreach/runtime/wake_signal.h"

namespace figreach {

void wake_signal::notify()
{
    {
        const std::lock_guard lock{this->mutex};
        this->notified = true;
    }
    this->condition.notify_one();
}

void wake_signal::wait_until(monotonic_time until)
{
    std::unique_lock lock{this->mutex};
    this->condition.wait_until(lock, until, [this] { return this->notified; });
    this->notified = false;
}

} // namespace figreach
