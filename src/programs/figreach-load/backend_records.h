#pragma once

#include <optional>
#include <string>
#include <vector>

#include "promise_check.h"

namespace figreach::load {

/// Executions and counters reported by one backend server.
struct backend_record {
    std::vector<server_execution> executions;
    std::string counts;    ///< JSON body of /standin/counts
    bool complete = false; ///< the server has dropped no execution
};

/// Fetches the record of one backend server. Empty if a request fails or a response cannot be
/// parsed.
[[nodiscard]] std::optional<backend_record> fetch_backend(const std::string& address);

} // namespace figreach::load
