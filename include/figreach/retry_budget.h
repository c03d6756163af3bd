#pragma once

#include <cstdint>

#include "figreach/time.h"

namespace figreach {

struct retry_budget_settings {
    std::uint32_t percent = 10;     ///< retries earned by 100 first attempts
    std::uint32_t max_retries = 20; ///< capacity of the budget, which bounds a burst of retries
};

/// Limits retries or hedged requests to a share of the traffic. Counts exactly, in hundredths of a
/// retry. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings);

    /// Records a first attempt, which earns a fraction of a retry.
    void earn();
    /// Takes one retry from the budget. Returns false and takes nothing if less than one is left.
    [[nodiscard]] bool spend();
    /// Number of whole retries left.
    [[nodiscard]] std::uint32_t left() const;

private:
    retry_budget_settings settings;
    std::uint64_t hundredths = 0;
};

struct backoff_settings {
    milliseconds first{20};
    milliseconds longest{400};
};

/// The delay before retry number `retry`, counted from 1. It is uniformly distributed between half
/// of an exponentially growing bound and the bound. `random` is a 64-bit random number.
[[nodiscard]] milliseconds jittered_backoff(const backoff_settings& settings, std::uint32_t retry,
                                            std::uint64_t random);

/// Returns the next number of a splitmix64 sequence and advances `state`.
[[nodiscard]] std::uint64_t next_random(std::uint64_t& state);

} // namespace figreach
