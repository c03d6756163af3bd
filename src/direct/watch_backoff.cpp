#include "figreach/direct/watch_backoff.h"

#include <algorithm>

#include "figreach/retry_budget.h"

namespace figreach::direct {

namespace {

constexpr milliseconds change_delay{15};
constexpr milliseconds max_change_delay{400};
/// With 79 hosts this keeps the total below 800 calls per second.
constexpr milliseconds change_delay_per_host{4};
constexpr milliseconds failure_delay{200};
/// A host must know of leaving servers within 3 s after a partition from the store ends, and it may
/// wait 2.5 s of that time for entries that lapsed.
constexpr milliseconds max_failure_delay{800};

} // namespace

milliseconds watch_backoff::after_changes() const
{
    if (this->watches_for_others) {
        return change_delay;
    }
    const auto count = static_cast<std::int64_t>(this->hosts);
    return std::clamp(change_delay_per_host * count, change_delay, max_change_delay);
}

milliseconds watch_backoff::after_failure(std::uint32_t failures, std::uint64_t random) const
{
    const backoff_settings backoff{.first = failure_delay, .longest = max_failure_delay};
    return this->watches_for_others ? failure_delay : jittered_backoff(backoff, failures, random);
}

} // namespace figreach::direct
