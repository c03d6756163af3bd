#include "figreach/runtime/published_routes.h"

#include <utility>

namespace figreach {

void published_routes::publish(std::shared_ptr<const routing_snapshot> snapshot)
{
    const std::lock_guard lock{this->mutex};
    this->present = std::move(snapshot);
    this->generation.fetch_add(1, std::memory_order_release);
}

void published_routes::refresh(std::shared_ptr<const routing_snapshot>& cached,
                               std::uint64_t& seen) const
{
    if (this->generation.load(std::memory_order_acquire) == seen) {
        return;
    }
    const std::lock_guard lock{this->mutex};
    cached = this->present;
    seen = this->generation.load(std::memory_order_relaxed);
}

} // namespace figreach
