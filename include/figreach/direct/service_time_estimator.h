#pragma once

#include <map>

#include "figreach/direct/service_time_sample.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct service_time_settings {
    milliseconds memory{6000};     ///< after which an answer counts 1/e
    double assumed_answers = 8.0;  ///< at the usual time, before a server has shown its own
    milliseconds first_guess{120}; ///< before any answer
    double least = 0.2;            ///< of the usual time: bounds of what is believed
    double most = 10.0;
};

/// How long work takes at each backend server of a service, learnt from the answers that all hosts
/// have seen.
class service_time_estimator {
public:
    explicit service_time_estimator(service_time_settings settings);

    void add(const service_time_sample& pace);
    void decay(monotonic_time now);
    [[nodiscard]] std::chrono::duration<double> service_time_of(const backend_server_id& id) const;

private:
    struct seen_work {
        double answers = 0.0;
        double seconds = 0.0;
    };

    /// What servers that were seen add up to, each with its own mean.
    struct common_work {
        double seconds = 0.0;
        double weight = 0.0;
    };

    [[nodiscard]] double known_share(const seen_work& one) const;
    void count(const seen_work& one, double sign);
    [[nodiscard]] double usual() const;

    service_time_settings settings;
    std::map<backend_server_id, seen_work> seen;
    common_work common; ///< of all in `seen`
    monotonic_time decayed_at{};
};

} // namespace figreach::direct
