#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "figreach/time.h"

namespace figreach::load {

/// Picks key numbers by a Zipf distribution whose most popular keys change at intervals.
class key_picker {
public:
    key_picker(std::uint64_t keys, double exponent, milliseconds hot_set_lifetime);

    /// `since` is the time since the run began.
    [[nodiscard]] std::uint64_t pick(std::mt19937_64& random, nanoseconds elapsed) const;

private:
    std::vector<double> cumulative; ///< by rank, the last is 1
    milliseconds hot_set_lifetime;
};

} // namespace figreach::load
