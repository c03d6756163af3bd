#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

#include "figreach/control.h"

namespace figreach {

/// The current routing snapshot. The control thread publishes it; request threads read it.
class published_routes {
public:
    void publish(std::shared_ptr<const routing_snapshot> snapshot);

    /// Replaces `cached` if a snapshot newer than generation `seen` has been published, and updates
    /// `seen`. Both belong to the calling thread.
    void refresh(std::shared_ptr<const routing_snapshot>& cached, std::uint64_t& seen) const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const routing_snapshot> present;
    std::atomic<std::uint64_t> generation{0};
};

} // namespace figreach
