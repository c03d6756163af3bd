#include "figreach/direct/follow_pace.h"

#include <algorithm>
#include <cstdint>

namespace figreach::direct {

namespace {

constexpr milliseconds min_wait{200};
constexpr milliseconds max_wait{800};
/// Leaves the leader of a large cluster time to send orders.
constexpr milliseconds wait_per_host{12};
constexpr milliseconds min_pause{20};
/// A leaving server must receive no requests 2 s after its report.
constexpr milliseconds max_pause{200};
constexpr milliseconds pause_per_host{1};

} // namespace

milliseconds follow_pace::longest_wait() const
{
    const auto count = static_cast<std::int64_t>(this->hosts);
    return std::clamp(wait_per_host * count, min_wait, max_wait);
}

milliseconds follow_pace::pause() const
{
    const auto count = static_cast<std::int64_t>(this->hosts);
    return std::clamp(pause_per_host * count, min_pause, max_pause);
}

} // namespace figreach::direct
