#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figreach/time.h"

namespace figreach::load {

/// Requests of one class to one service.
struct stream_settings {
    std::string service;
    std::string tenant;        ///< empty: the service's own
    std::string request_class; ///< empty: the service's first
    double rate = 100.0;       ///< arrivals a second
    double posts = 0.0;        ///< share of non-idempotent requests
    bool keyed = true;         ///< the service is divided by key
    std::uint64_t answer_bytes = 0;
    std::uint64_t upload_bytes = 0;
};

struct load_settings {
    std::vector<std::string> hosts;           ///< callers' addresses of entry hosts
    std::vector<std::string> admin_addresses; ///< admin addresses of `hosts`; empty: all are ready
    std::vector<std::string> backends;        ///< addresses of all backend servers
    std::vector<stream_settings> streams;
    milliseconds duration{10000};
    std::uint64_t max_requests = 1000000;
    std::uint32_t threads = 1;
    std::uint32_t connections = 64; ///< to each entry host, of each thread
    std::uint64_t seed = 1;
    std::uint64_t keys = 10000;
    double zipf_exponent = 1.0;
    milliseconds hot_set_lifetime{2000};
    milliseconds deadline{2000};
    double repeat_fraction = 0.1; ///< share of the non-idempotent requests that are sent again
};

/// Parses "service=NAME,rate=N,...". Throws std::invalid_argument with a sentence for people.
[[nodiscard]] stream_settings parse_stream(const std::string& text);

} // namespace figreach::load
