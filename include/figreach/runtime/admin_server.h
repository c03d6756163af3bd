#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "figreach/runtime/metrics.h"

namespace figreach {

/// An HTTP server on its own thread: /metrics for monitoring, /ready for the platform's load
/// balancer.
class admin_server {
public:
    /// Listens on `address`. `page` must outlive the server; `ready` is called on its thread.
    /// Throws boost::system::system_error if listening fails.
    admin_server(const std::string& address, const metrics& page, std::function<bool()> ready);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

private:
    class listener;

    std::unique_ptr<listener> state;
    std::thread thread;
};

} // namespace figreach
