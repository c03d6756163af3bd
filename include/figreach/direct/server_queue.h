#pragma once

#include "figreach/time.h"

namespace figreach::direct {

/// A backend server as a queue: how long work takes there, and how much of it at a time.
struct server_queue {
    std::chrono::duration<double> service_time{0.1}; ///< mean time of one request without waiting
    double slots = 1.0;

    /// Share of the slots that are busy at a rate of requests per second; above 1: overloaded.
    [[nodiscard]] double utilization(double rate) const;
    /// Seconds by which all requests together take longer when one more a second arrives: its own
    /// response time and the waiting that it adds for the others.
    [[nodiscard]] double marginal_cost(double rate) const;
};

} // namespace figreach::direct
