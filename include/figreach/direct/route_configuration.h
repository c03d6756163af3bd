#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// What a route's requests allow.
enum class request_kind : std::uint8_t {
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once
    upload,         ///< runs at most once; bodies are large
};

struct weighted_service {
    service_id service;
    std::uint32_t weight = 0; ///< share of the requests, relative to the sum of the route
};

/// Requests of one host name whose path begins with a prefix.
struct route_rule {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    std::vector<weighted_service> services; ///< never empty
    std::uint32_t max_servers = 1;          ///< backend servers that one request may be sent to
    milliseconds timeout{0};                ///< longest time from arrival to the final answer
    milliseconds latency_objective{0};      ///< an answer within it has its full worth
    std::uint32_t rank = 0;                 ///< 0: the most urgent
};

struct service_rule {
    service_id name;
    std::string health_path;
    std::uint32_t most_connections = 0; ///< that one backend server takes from all callers
    milliseconds cold_time{0};          ///< for which a backend server is cold after its start
    double cold_rate = 0.0;             ///< requests per second that a cold backend server bears
    bool divided_by_key = false;
    milliseconds warm_up{0}; ///< for which keys that came without a hand-over token are slow
};

/// Bounds of what a caller may send.
struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64 * 1024 * 1024;
    milliseconds header_time{3000};
    milliseconds idle_time{15000};
};

/// One version of the operators' configuration, in full.
struct route_configuration {
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::map<service_id, service_rule> services;
    caller_limits limits;
};

} // namespace figreach::direct
