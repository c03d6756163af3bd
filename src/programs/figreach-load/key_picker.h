#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "figreach/time.h"

namespace figreach::load {

/// Draws key numbers from a Zipf distribution. The set of popular keys changes every
/// `hot_set_lifetime`.
class key_picker {
public:
    key_picker(std::uint64_t keys, double exponent, milliseconds hot_set_lifetime);

    /// `elapsed` is the time since the start of the run.
    [[nodiscard]] std::uint64_t pick(std::mt19937_64& random, nanoseconds elapsed) const;

private:
    std::vector<double> cumulative; ///< cumulative probability by rank; the last entry is 1
    milliseconds hot_set_lifetime;
};

} // namespace figreach::load
