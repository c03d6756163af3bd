#include "figreach/runtime/doorbell.h"

namespace figreach {

void doorbell::ring()
{
    {
        const std::lock_guard lock{this->guard};
        this->rung = true;
    }
    this->rung_changed.notify_one();
}

void doorbell::wait_until(monotonic_time until)
{
    std::unique_lock lock{this->guard};
    this->rung_changed.wait_until(lock, until, [this] { return this->rung; });
    this->rung = false;
}

} // namespace figreach
