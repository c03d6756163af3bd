#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figreach/time.h"

namespace figreach::load {

/// A stream of requests of one class to one service.
struct stream_settings {
    std::string service;
    std::string tenant;        ///< empty: the service's own tenant
    std::string request_class; ///< empty: the service's first class
    double rate = 100.0;       ///< arrivals per second
    double posts = 0.0;        ///< fraction of non-idempotent requests
    bool keyed = true;         ///< the service is divided by key
    std::uint64_t answer_bytes = 0;
    std::uint64_t upload_bytes = 0;
};

struct load_settings {
    std::vector<std::string> hosts; ///< addresses on which entry hosts accept requests
    /// Admin addresses of `hosts`, in the same order. If empty, all hosts count as ready.
    std::vector<std::string> admin_addresses;
    std::vector<std::string> backends; ///< addresses of all backend servers
    std::vector<stream_settings> streams;
    milliseconds duration{10000};
    std::uint64_t max_requests = 1000000;
    std::uint32_t threads = 1;
    std::uint32_t connections = 64; ///< per thread and entry host
    std::uint64_t seed = 1;
    std::uint64_t keys = 10000;
    double zipf_exponent = 1.0;
    milliseconds hot_set_lifetime{2000};
    milliseconds deadline{2000};
    double repeat_fraction = 0.1; ///< fraction of non-idempotent requests that are sent twice
};

/// Parses "service=NAME,rate=N,...". Throws std::invalid_argument with a readable message.
[[nodiscard]] stream_settings parse_stream(const std::string& text);

} // namespace figreach::load
