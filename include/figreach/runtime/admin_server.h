#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "figreach/runtime/metrics.h"

namespace figreach {

/// The thread that serves /metrics for monitoring and /ready for the platform's balancer.
class admin_server {
public:
    /// Listens at `address`. `page` outlives the server; `ready` is called by its thread.
    /// Throws boost::system::system_error when it cannot listen.
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
