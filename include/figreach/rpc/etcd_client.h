#pragma once

#include <memory>
#include <string>

#include "figreach/store_call.h"
#include "figreach/time.h"

namespace figreach {

/// Client of the platform's key-value service, which implements the etcd v3 API.
class etcd_client {
public:
    /// `address`: IP address and port.
    explicit etcd_client(const std::string& address);
    ~etcd_client();
    etcd_client(const etcd_client&) = delete;
    etcd_client& operator=(const etcd_client&) = delete;

    /// Executes one call and blocks for at most `timeout`. Returns store_no_answer if the call
    /// fails; a write may have taken effect nevertheless.
    [[nodiscard]] store_result call(const store_call& what, milliseconds timeout);

private:
    class stubs;

    std::unique_ptr<stubs> service;
};

} // namespace figreach
