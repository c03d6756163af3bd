#pragma once

#include <optional>

#include "figreach/time.h"

namespace figreach::direct {

/// Queueing model of a backend server.
struct server_queue {
    std::chrono::duration<double> service_time{0.1}; ///< mean time of a request without waiting
    double slots = 1.0;
    std::optional<double> max_rate; ///< requests per second that the server accepts at most

    /// Requests per second at which the server is fully used.
    [[nodiscard]] double capacity() const;

    /// Fraction of the capacity that is used at a rate of requests per second. Above 1 the server
    /// is overloaded.
    [[nodiscard]] double utilization(double rate) const;
    /// Increase of the total response time, in seconds, caused by one more request per second: its
    /// own response time plus the waiting time that it adds to the other requests.
    [[nodiscard]] double marginal_cost(double rate) const;
};

} // namespace figreach::direct
