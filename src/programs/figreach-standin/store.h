#pragma once

#include <memory>
#include <string>

#include "http_control.h"

namespace figreach::standin {

/// In-memory stand-in for the platform's key-value service. Implements the used part of the etcd v3
/// API. The platform's list of hosts is stored under /platform/hosts/.
class store {
public:
    /// Listens on `address`. Throws std::runtime_error if that fails.
    explicit store(const std::string& address);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    /// Handles POST /fault, GET /counts and PUT /platform/hosts/NAME; status 404 for all others.
    [[nodiscard]] control_answer control(const std::string& method, const std::string& target,
                                         const std::string& body);

private:
    class impl;

    std::unique_ptr<impl> server;
};

} // namespace figreach::standin
