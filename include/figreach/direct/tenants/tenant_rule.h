#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figreach/direct/tenants/api_key_digest.h"
#include "figreach/ids.h"

namespace figreach::direct {

/// A client account: who may call, how urgent its requests are and how many may run.
struct tenant_rule {
    tenant_id name;
    std::vector<api_key_digest> keys;
    std::optional<std::uint32_t> rank; ///< replaces the rank of the route; 0 is the most urgent
    double rate = 0.0;                 ///< requests per second over all hosts; 0: no limit
    double burst = 0.0;                ///< requests beyond the rate
    /// First field that could not be read; empty if the tenant can be used.
    std::string unreadable_field;
};

} // namespace figreach::direct
