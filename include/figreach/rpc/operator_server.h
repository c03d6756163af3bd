#pragma once

#include <memory>
#include <string>

#include "figreach/rpc/etcd_client.h"

namespace figreach {

/// The operators' RPC of one entry host.
class operator_server {
public:
    /// Listens at `address`. Throws std::runtime_error when it cannot.
    operator_server(const std::string& address, const std::string& store_address);
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

private:
    class service;

    std::unique_ptr<service> calls;
};

} // namespace figreach
