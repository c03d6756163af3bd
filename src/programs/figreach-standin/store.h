#pragma once

#include <memory>
#include <string>

#include "http_control.h"

namespace figreach::standin {

/// Stand-in for the platform's key-value service, by the published etcd v3 API, in memory.
/// The platform's list of hosts is kept under /platform/hosts/.
class store {
public:
    /// Listens at `address`. Throws std::runtime_error when it cannot.
    explicit store(const std::string& address);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    /// POST /fault, GET /counts, PUT /platform/hosts/NAME.
    [[nodiscard]] control_answer control(const std::string& method, const std::string& target,
                                         const std::string& body);

private:
    class impl;

    std::unique_ptr<impl> server;
};

} // namespace figreach::standin
