#pragma once

#include <map>

#include "figreach/direct/service_time_sample.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct service_time_settings {
    milliseconds memory{6000};          ///< time in which the weight of an answer drops to 1/e
    double prior_answers = 8.0;         ///< weight of the overall mean, in answers
    milliseconds initial_estimate{120}; ///< until the first answer of any server
    double min_factor = 0.2;            ///< bounds of an estimate, relative to the overall mean
    double max_factor = 10.0;
};

/// Estimates the service time of each backend server of a service from the answers that all hosts
/// have received.
class service_time_estimator {
public:
    explicit service_time_estimator(service_time_settings settings);

    void add(const service_time_sample& sample);
    void decay(monotonic_time now);
    [[nodiscard]] std::chrono::duration<double> service_time_of(const backend_server_id& id) const;

private:
    struct observed_time {
        double answers = 0.0;
        double seconds = 0.0;
    };

    /// Weighted sum of the means of all observed servers.
    struct overall_time {
        double seconds = 0.0;
        double weight = 0.0;
    };

    [[nodiscard]] double confidence(const observed_time& one) const;
    void add_to_overall(const observed_time& one, double sign);
    [[nodiscard]] double overall_mean() const;

    service_time_settings settings;
    std::map<backend_server_id, observed_time> observed;
    overall_time overall; ///< of all in `observed`
    monotonic_time decayed_at{};
};

} // namespace figreach::direct
