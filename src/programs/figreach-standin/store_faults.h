#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "figreach/time.h"

namespace figreach::standin {

/// Faults injected into the stand-in store, which may change while it runs, and its counters.
/// Thread-safe.
class store_faults {
public:
    /// Applies a JSON object with the optional fields "down", "slow_ms", "lose_answers" and
    /// "lapse_leases". False if it is malformed; nothing is changed then.
    [[nodiscard]] bool apply(const std::string& json);

    [[nodiscard]] bool down() const;
    /// Delay added to each call.
    [[nodiscard]] milliseconds delay() const;
    /// Whether to drop the response to the write that has just been applied. Decrements the number
    /// of responses to lose.
    [[nodiscard]] bool consume_lost_answer();
    /// True once after "lapse_leases" was set: all leases must expire.
    [[nodiscard]] bool consume_lease_expiry();

    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> lease_calls{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> lost_answers{0};
    std::atomic<std::int64_t> waiting_watches{0};

private:
    std::atomic<bool> is_down{false};
    std::atomic<std::int64_t> delay_ms{0};
    std::atomic<std::int64_t> answers_to_lose{0};
    std::atomic<bool> expire_leases{false};
};

} // namespace figreach::standin
