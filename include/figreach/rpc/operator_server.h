#pragma once

#include <memory>

#include "figreach/rpc/operator_settings.h"
#include "figreach/runtime/published_routes.h"

namespace figreach {

/// The operators' RPC of one entry host. It calls the store itself, apart from the control thread.
class operator_server {
public:
    /// Listens. Throws std::runtime_error when it cannot, or when a certificate cannot be read.
    /// `routes` outlives the server.
    operator_server(const operator_settings& settings, const published_routes& routes,
                    operator_hooks hooks);
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

private:
    class service;

    std::unique_ptr<service> calls;
};

} // namespace figreach
