#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figreach/control.h"

namespace figreach {

/// The state of the system as known to one entry host.
struct system_view {
    bool store_reachable = true;
    std::uint64_t stored_version = 0;          ///< version in the store; 0: none or unknown
    const routing_snapshot* routing = nullptr; ///< null: the host has no description in force
};

/// Recommended operator actions, most urgent first, one line each. Never empty.
[[nodiscard]] std::vector<std::string> status_advice(const system_view& view);

/// Number of slices that a backend server owns in all partitions.
[[nodiscard]] std::uint32_t owned_slices(const routing_snapshot& routing,
                                         const backend_server_id& server);

} // namespace figreach
