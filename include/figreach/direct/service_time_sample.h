#pragma once

#include <chrono>
#include <cstdint>

#include "figreach/ids.h"

namespace figreach::direct {

/// Work of a backend server that was not slowed by a queue, as one host has seen it.
struct service_time_sample {
    backend_server_id server;
    std::uint32_t answers = 0;
    std::chrono::microseconds work{0}; ///< of all answers together

    friend bool operator==(const service_time_sample&, const service_time_sample&) = default;
};

} // namespace figreach::direct
