#pragma once

#include <optional>
#include <string>
#include <vector>

#include "promise_check.h"

namespace figreach::load {

/// What one backend server recorded.
struct backend_record {
    std::vector<server_execution> executions;
    std::string counts; ///< JSON of /standin/counts
    bool complete = false;
};

/// Fetches the records of one backend server; empty when it does not answer.
[[nodiscard]] std::optional<backend_record> fetch_backend(const std::string& address);

} // namespace figreach::load
