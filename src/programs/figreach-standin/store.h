#pragma once

#include <memory>
#include <string>

namespace figreach::standin {

/// Stand-in for the platform's key-value service, by the published etcd v3 API, in memory.
class store {
public:
    /// Listens at `address`. Throws std::runtime_error when it cannot.
    explicit store(const std::string& address);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

private:
    class service;

    std::unique_ptr<service> calls;
};

} // namespace figreach::standin
