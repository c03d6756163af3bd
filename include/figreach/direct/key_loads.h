#pragma once

#include <cstdint>
#include <vector>

#include "figreach/direct/key_order.h"
#include "figreach/time.h"

namespace figreach::direct {

struct key_load_settings {
    milliseconds memory{2000}; ///< time in which the weight of a request drops to 1/e
    /// Prior count of requests, spread evenly over all keys, so that a few requests do not look
    /// like a hot range.
    double assumed_requests = 100.0;
};

/// Distribution of the recent requests of one service over its keys.
class key_loads {
public:
    explicit key_loads(key_load_settings settings);

    void add(std::uint32_t key, double requests);
    /// Decays the counts by the time that has passed.
    void decay(monotonic_time now);

    /// Fraction of all requests that are for these keys, from 0 to 1.
    [[nodiscard]] double share(const key_span& keys) const;
    /// Decayed count of recent requests.
    [[nodiscard]] double requests() const;
    [[nodiscard]] std::chrono::duration<double> memory() const;
    /// Requests per second, averaged over the memory.
    [[nodiscard]] double rate() const;

private:
    key_load_settings settings;
    std::vector<double> counts; ///< per key, in units of `scale`
    double total = 0.0;         ///< sum of all counts
    double scale = 1.0;         ///< decayed in place of each single count
    monotonic_time decayed_at{};
};

} // namespace figreach::direct
