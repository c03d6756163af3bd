#pragma once

#include <memory>
#include <string>

#include "figreach/store_call.h"
#include "figreach/time.h"

namespace figreach {

/// The platform's key-value service by the published etcd v3 API.
class etcd_client {
public:
    /// `address`: IP number and port.
    explicit etcd_client(const std::string& address);
    ~etcd_client();
    etcd_client(const etcd_client&) = delete;
    etcd_client& operator=(const etcd_client&) = delete;

    /// Carries out one call; blocks for `timeout` at most. A write that got no answer is
    /// store_no_answer: whether it took effect is unknown.
    [[nodiscard]] store_result call(const store_call& what, milliseconds timeout);

private:
    class stubs;

    std::unique_ptr<stubs> service;
};

} // namespace figreach
