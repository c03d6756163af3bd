#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "figreach/direct/tenants/tenant_rule.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// How often the requests of a route may run.
enum class request_kind : std::uint8_t {
    idempotent,     ///< may run several times
    non_idempotent, ///< runs at most once
    upload,         ///< runs at most once; bodies are large
    download,       ///< may run several times; answers are large
};

[[nodiscard]] constexpr bool may_repeat(request_kind kind)
{
    return kind == request_kind::idempotent || kind == request_kind::download;
}

struct weighted_service {
    service_id service;
    std::uint32_t weight = 0; ///< share of the requests, relative to the sum of the route
};

/// Matches the requests for one host name whose path begins with a prefix.
struct route_rule {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    std::vector<weighted_service> services; ///< never empty
    std::uint32_t max_servers = 1;     ///< number of backend servers that a request may be sent to
    milliseconds timeout{0};           ///< longest time from arrival to the final answer
    milliseconds latency_objective{0}; ///< target; answers within it have full value
    std::uint32_t rank = 0;            ///< 0 is the most urgent
    bool is_public = false;            ///< needs no API key where the configuration has tenants
    /// First field that could not be read; empty if the route can be used. `host` and `prefix` are
    /// empty if they could not be read.
    std::string unreadable_field;
};

struct service_rule {
    service_id name;
    std::string health_path;
    std::uint32_t most_connections = 0; ///< connections that one backend server accepts in total
    milliseconds cold_time{0};          ///< how long a backend server is cold after its start
    double cold_rate = 0.0;             ///< requests per second that a cold backend server handles
    bool divided_by_key = false;
    milliseconds warm_up{0}; ///< how long keys received without a handover token are slow
    /// First field that could not be read; empty if the service can be used.
    std::string unreadable_field;
};

/// Limits on the requests of callers.
struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64 * 1024 * 1024;
    milliseconds header_time{3000};
    milliseconds idle_time{15000};
};

/// An entry of a configuration that could not be read.
struct unreadable_entry {
    std::string entry; ///< kind and name, such as "routes.a"; the index if it has no name
    std::string field; ///< its first invalid field
};

/// One complete version of the operators' configuration.
struct route_configuration {
    std::uint64_t version = 0; ///< 0 if it could not be read
    std::vector<route_rule> routes;
    std::map<service_id, service_rule> services;
    caller_limits limits; ///< the default for each limit that could not be read
    /// If there are any, requests need the API key of one of them unless their route is public.
    std::vector<tenant_rule> tenants;
    /// Requests of these entries are refused. All other entries are in force.
    std::vector<unreadable_entry> unreadable;
};

} // namespace figreach::direct
