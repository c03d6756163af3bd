#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

#include "figreach/control.h"

namespace figreach {

/// The routing snapshot in force, written by the control thread, read by all request threads.
class published_routes {
public:
    void publish(std::shared_ptr<const routing_snapshot> snapshot);

    /// Replaces `cached` when a newer snapshot is in force. `seen` belongs to the calling thread.
    void refresh(std::shared_ptr<const routing_snapshot>& cached, std::uint64_t& seen) const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const routing_snapshot> present;
    std::atomic<std::uint64_t> generation{0};
};

} // namespace figreach
