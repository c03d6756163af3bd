#pragma once

#include "figreach/time.h"

namespace figreach::direct {

/// Queueing model of a backend server.
struct server_queue {
    std::chrono::duration<double> service_time{0.1}; ///< mean time of a request without waiting
    double slots = 1.0;

    /// Fraction of the slots that are busy at a rate of requests per second. Above 1 the server is
    /// overloaded.
    [[nodiscard]] double utilization(double rate) const;
    /// Increase of the total response time, in seconds, caused by one more request per second: its
    /// own response time plus the waiting time that it adds to the other requests.
    [[nodiscard]] double marginal_cost(double rate) const;
};

} // namespace figreach::direct
