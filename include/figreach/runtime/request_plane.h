#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "figreach/ids.h"
#include "figreach/runtime/metrics.h"
#include "figreach/runtime/published_routes.h"
#include "figreach/runtime/server_link_registry.h"

namespace figreach {

struct request_plane_state;

struct request_plane_settings {
    host_id self;
    std::string caller_address;
    std::string forward_address;
    std::uint32_t threads = 2;
};

/// The threads that serve callers and forwarding entry hosts.
class request_plane {
public:
    /// The boards and the page of metrics outlive the plane. Throws boost::system::system_error
    /// when it cannot listen.
    request_plane(const request_plane_settings& settings, const published_routes& routes,
                  const server_link_registry& links, metrics& page);
    ~request_plane();
    request_plane(const request_plane&) = delete;
    request_plane& operator=(const request_plane&) = delete;

    /// Refuses new requests from now on and closes connections that carry none; requests under
    /// way finish. Safe to call from any thread.
    void begin_drain();
    /// Requests under way.
    [[nodiscard]] std::uint64_t in_flight() const;

private:
    class worker;

    std::unique_ptr<request_plane_state> state;
    host_id self;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::thread> threads;
};

} // namespace figreach
