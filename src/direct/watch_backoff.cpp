#include "figreach/direct/watch_backoff.h"

#include <algorithm>

#include "figreach/retry_budget.h"

namespace figreach::direct {

namespace {

constexpr milliseconds change_pause{15};
constexpr milliseconds longest_change_pause{400};
/// 79 hosts make less than 800 calls a second so.
constexpr milliseconds change_pause_for_each_host{4};
constexpr milliseconds failure_pause{200};
/// A host that was cut off must know of leaving servers 3 s after the cut has ended, of which it
/// may wait 2.5 s for entries that lapsed.
constexpr milliseconds longest_failure_pause{800};

} // namespace

milliseconds watch_backoff::after_changes() const
{
    if (this->leads) {
        return change_pause;
    }
    const auto count = static_cast<std::int64_t>(this->hosts);
    return std::clamp(change_pause_for_each_host * count, change_pause, longest_change_pause);
}

milliseconds watch_backoff::after_failure(std::uint32_t failures, std::uint64_t random) const
{
    const backoff_settings backoff{.first = failure_pause, .longest = longest_failure_pause};
    return this->leads ? failure_pause : jittered_backoff(backoff, failures, random);
}

} // namespace figreach::direct
