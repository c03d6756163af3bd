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

/// The threads that serve requests of callers and of forwarding entry hosts.
class request_plane {
public:
    /// `routes`, `links` and `page` must outlive the plane. Throws boost::system::system_error if
    /// listening fails.
    request_plane(const request_plane_settings& settings, const published_routes& routes,
                  const server_link_registry& links, metrics& page);
    ~request_plane();
    request_plane(const request_plane&) = delete;
    request_plane& operator=(const request_plane&) = delete;

    /// Refuses new requests from now on and closes idle connections; requests in progress finish.
    /// Thread-safe.
    void begin_drain();
    /// Number of requests in progress.
    [[nodiscard]] std::uint64_t in_flight() const;

private:
    class worker;

    std::unique_ptr<request_plane_state> state;
    host_id self;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::thread> threads;
};

} // namespace figreach
