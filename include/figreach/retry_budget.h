#pragma once

#include <cstdint>

#include "figreach/time.h"

namespace figreach {

struct retry_budget_settings {
    std::uint32_t percent = 10;     ///< retries allowed for each hundred first attempts
    std::uint32_t max_retries = 20; ///< retries that may be saved up for a burst
};

/// Bounds retries, or hedges, to a share of the traffic. Exact: counts in hundredths of a retry.
/// Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings);

    /// Notes a first attempt, which earns a part of a retry.
    void earn();
    /// Takes one retry from the budget. False, and nothing taken, when less than one is left.
    [[nodiscard]] bool spend();
    /// Whole retries left.
    [[nodiscard]] std::uint32_t left() const;

private:
    retry_budget_settings settings;
    std::uint64_t hundredths = 0;
};

struct backoff_settings {
    milliseconds first{20};
    milliseconds longest{400};
};

/// The delay before retry number `retry` (from 1): uniform between half of an exponentially
/// growing bound and the bound itself. `random` is any 64-bit random number.
[[nodiscard]] milliseconds jittered_backoff(const backoff_settings& settings, std::uint32_t retry,
                                            std::uint64_t random);

/// Next number of a splitmix64 sequence; advances `state`.
[[nodiscard]] std::uint64_t next_random(std::uint64_t& state);

} // namespace figreach
