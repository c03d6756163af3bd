#pragma once

#include <memory>

#include "figreach/rpc/operator_settings.h"
#include "figreach/runtime/published_routes.h"

namespace figreach {

/// The operator RPC service of one entry host. It has its own connection to the store and does not
/// go through the control thread.
class operator_server {
public:
    /// Starts listening. Throws std::runtime_error if this fails or a certificate cannot be read.
    /// `routes` must outlive the server.
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
