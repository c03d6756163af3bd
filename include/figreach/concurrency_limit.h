#pragma once

#include <cstdint>

#include "figreach/time.h"

namespace figreach {

struct concurrency_limit_settings {
    std::uint32_t most = 4;         ///< slots of the backend server
    std::uint32_t least = 1;        ///< the limit never falls below
    double tolerance = 2.0;         ///< ratio of recent to usual latency that is no overload
    double decrease = 0.75;         ///< factor on the limit on overload
    double recent_weight = 0.2;     ///< of a new answer in the recent latency
    double usual_weight = 0.01;     ///< of a new answer in the usual latency
    std::uint32_t cold_answers = 8; ///< good answers before a cold cap grows by one
    milliseconds cold_step{2000};   ///< least time before a cold cap grows by one
    milliseconds longest_cold_claim{60000}; ///< after which a server's claim to be cold is ignored
};

/// How many requests one backend server may run at once: the lower of an adaptive limit on the
/// latency seen and a cold cap that grows from one. Not thread-safe.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_settings settings);

    /// Another number of slots; a warm server is warm up to the new one.
    void set_max(std::uint32_t most);
    /// Starts the cold cap anew, at `from` requests.
    void restart_cold(monotonic_time now, std::uint32_t from = 1);
    /// The server says whether it is cold; its cap does not grow meanwhile.
    void set_cold_claim(bool cold, monotonic_time now);
    /// A request was answered after `latency`.
    void on_answer(nanoseconds latency, monotonic_time now);

    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] bool is_cold() const;
    /// Smoothed latency of recent answers; zero before the first.
    [[nodiscard]] nanoseconds recent_latency() const;

private:
    [[nodiscard]] bool is_slow() const;
    void adapt(monotonic_time now);
    void grow_cold(monotonic_time now);

    concurrency_limit_settings settings;
    double adaptive;
    double recent = 0.0; ///< nanoseconds
    double usual = 0.0;  ///< nanoseconds
    std::uint32_t since_decrease = 0;
    std::uint32_t cold_cap;
    std::uint32_t good_answers = 0;
    bool claimed_cold = false;
    monotonic_time claimed_since{};
    monotonic_time stepped{};
};

} // namespace figreach
