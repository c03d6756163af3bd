#pragma once

#include <cstdint>

#include "figreach/time.h"

namespace figreach {

struct concurrency_limit_settings {
    std::uint32_t max = 4;              ///< slots of the backend server
    std::uint32_t min = 1;              ///< lower bound of the adaptive limit
    double tolerance = 2.0;             ///< overload begins above this multiple of the baseline
    double decrease = 0.75;             ///< factor applied to the limit on overload
    double recent_weight = 0.2;         ///< smoothing factor of the recent latency
    double baseline_weight = 0.01;      ///< smoothing factor of the baseline latency
    std::uint32_t cold_answers = 8;     ///< answers required before the cold cap grows by one
    milliseconds cold_step{2000};       ///< minimum time between two steps of the cold cap
    milliseconds max_cold_claim{60000}; ///< a server's claim to be cold is ignored after this time
};

/// Limits the number of requests that one backend server runs concurrently. The limit is the lower
/// of an adaptive limit, which follows the observed latency, and a cold cap, which grows from one
/// while the server warms up. Not thread-safe.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_settings settings);

    /// Changes the number of slots. A server that is warm stays warm at the new number.
    void set_max(std::uint32_t max);
    /// Resets the cold cap to `from` requests.
    void restart_cold(monotonic_time now, std::uint32_t from = 1);
    /// Records whether the server reports itself as cold. The cap does not grow while it does.
    void set_cold_claim(bool cold, monotonic_time now);
    /// Records the latency of an answered request.
    void on_answer(nanoseconds latency, monotonic_time now);

    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] bool is_cold() const;
    /// Exponential moving average of recent latencies; zero before the first answer.
    [[nodiscard]] nanoseconds recent_latency() const;

private:
    [[nodiscard]] bool is_slow() const;
    void adapt(monotonic_time now);
    void grow_cold(monotonic_time now);

    concurrency_limit_settings settings;
    double adaptive_limit;
    double recent_average = 0.0; ///< nanoseconds
    double baseline = 0.0;       ///< nanoseconds
    std::uint32_t since_decrease = 0;
    std::uint32_t cold_cap;
    std::uint32_t good_answers = 0;
    bool cold_claim = false;
    monotonic_time cold_claim_since{};
    monotonic_time last_step{};
};

} // namespace figreach
