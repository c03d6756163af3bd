#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "figreach/time.h"

namespace figreach::standin {

/// Faults of the stand-in store, switched while it runs, and its counts. Thread-safe.
class store_faults {
public:
    /// Applies an order in JSON: {"down", "slow_ms", "lose_answers", "lapse_leases"}, each
    /// optional; false when it is malformed.
    [[nodiscard]] bool apply(const std::string& json);

    [[nodiscard]] bool down() const;
    /// Extra time of each call.
    [[nodiscard]] milliseconds delay() const;
    /// Whether the answer of the write that just took effect is lost.
    [[nodiscard]] bool consume_lost_answer();
    /// True once after an order to let all leases lapse.
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
