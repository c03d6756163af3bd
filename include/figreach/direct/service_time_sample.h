#pragma once

#include <chrono>
#include <cstdint>

#include "figreach/ids.h"

namespace figreach::direct {

/// Service times of a backend server without queueing, as observed by one host.
struct service_time_sample {
    backend_server_id server;
    std::uint32_t answers = 0;
    std::chrono::microseconds total_time{0}; ///< of all answers

    friend bool operator==(const service_time_sample&, const service_time_sample&) = default;
};

} // namespace figreach::direct
