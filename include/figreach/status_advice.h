#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figreach/control.h"

namespace figreach {

/// What one entry host knows of the system when an operator asks.
struct system_view {
    bool store_reachable = true;
    std::uint64_t stored_version = 0;          ///< in the store; 0: none or not known
    const routing_snapshot* routing = nullptr; ///< null: no description is in force at the host
};

/// What an operator should do, the most urgent first. One sentence each; never empty.
[[nodiscard]] std::vector<std::string> status_advice(const system_view& view);

/// Slices that a backend server owns, over all partitions.
[[nodiscard]] std::uint32_t owned_slices(const routing_snapshot& routing,
                                         const backend_server_id& server);

} // namespace figreach
