#pragma once

#include <cstdint>
#include <vector>

#include "figreach/direct/key_order.h"
#include "figreach/time.h"

namespace figreach::direct {

struct key_load_settings {
    milliseconds memory{2000}; ///< after which a request counts 1/e
    /// Requests spread evenly over all keys that are assumed before any were seen, so that a few
    /// requests do not look like a hot range.
    double assumed_requests = 100.0;
};

/// How the recent requests of one service are spread over its keys.
class key_loads {
public:
    explicit key_loads(key_load_settings settings);

    void add(std::uint32_t key, double requests);
    /// Lets requests fade by the time that has passed.
    void decay(monotonic_time now);

    /// Share of all requests that is for these keys, from 0 to 1.
    [[nodiscard]] double share(const key_span& keys) const;
    /// Recent requests, faded.
    [[nodiscard]] double requests() const;
    [[nodiscard]] std::chrono::duration<double> memory() const;
    /// Requests per second, as far as the memory reaches.
    [[nodiscard]] double rate() const;

private:
    key_load_settings settings;
    std::vector<double> counts; ///< by key, in units of `scale`
    double total = 0.0;         ///< of all counts
    double scale = 1.0;         ///< fades instead of each count
    monotonic_time decayed_at{};
};

} // namespace figreach::direct
